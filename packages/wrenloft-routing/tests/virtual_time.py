"""An event loop whose time passes at once, for tests of what takes seconds."""

import asyncio
import selectors
import sys
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import pytest

Result = TypeVar("Result")


class _VirtualSelector(selectors.SelectSelector):
    """Advances the time of its loop instead of waiting."""

    now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now += timeout or 0.0
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while all tasks wait."""

    def __init__(self) -> None:
        self.selector = _VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


def read_loop_time() -> float:
    """Return the time of the running event loop, virtual or not."""
    return asyncio.get_running_loop().time()


def run_virtually(
    monkeypatch: pytest.MonkeyPatch, act: Callable[[], Coroutine[Any, Any, Result]]
) -> Result:
    """Run a coroutine in virtual time, which the routing package reads as its clock."""
    loop = VirtualLoop()
    for name, module in list(sys.modules.items()):
        if name.startswith("wrenloft_routing.") and hasattr(module, "read_clock"):
            monkeypatch.setattr(module, "read_clock", loop.time)
    try:
        return loop.run_until_complete(act())
    finally:
        loop.close()
