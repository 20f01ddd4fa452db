PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
WEIGHTS ?=
HOSTS ?= 24
GOAL ?= time
SEEDS ?= 100-149

.PHONY: demo test lint types unit prove generate bench-weights bench-requests bench-control bench-content bench-limits soak

$(READY): constraints.txt requirements-build.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -r requirements-build.txt
	$(BIN)/python -m pip install -q --no-build-isolation -c constraints.txt -r requirements-dev.txt
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m wrenloft_standins.demo $(if $(WEIGHTS),--weights $(WEIGHTS))

test: lint types unit

lint: $(READY)
	$(BIN)/black -q --check .
	$(BIN)/ruff check -q .
	$(BIN)/python -c "import platform; platform.system()" # platform/ must not shadow the library

types: $(READY)
	$(BIN)/mypy packages/*/src platform/wrenloft_platform

unit: $(READY)
	$(BIN)/python -m pytest -n 4

prove: $(READY)
	$(BIN)/python bench/safeguards.py

bench-weights: $(READY)
	$(BIN)/python bench/weights.py --hosts $(HOSTS) --goal $(GOAL)

bench-requests: $(READY)
	$(BIN)/python bench/load.py

bench-content: $(READY)
	$(BIN)/python bench/content.py

bench-limits: $(READY)
	$(BIN)/python bench/limits.py

soak: $(READY)
	$(BIN)/python bench/soak.py --seeds $(SEEDS)

bench-control: $(READY)
	$(BIN)/python bench/control.py

generate: $(READY)
	cd packages/wrenloft-messages/src && PATH=$(abspath $(BIN)):$$PATH $(abspath $(BIN))/python -m \
		grpc_tools.protoc -I. --python_out=. --grpc_python_out=. --mypy_out=. --mypy_grpc_out=. \
		wrenloft_messages/wrenloft.proto
