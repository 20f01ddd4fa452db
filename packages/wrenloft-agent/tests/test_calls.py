"""Tests of requests to the runner."""

import json

import pytest
from wrenloft_agent._runs import Run, RunState
from wrenloft_agent._sessions import open_session
from wrenloft_agent.runner import RunnerCalls, build_runner_headers

from wrenloft_core import Header, Priority, RequestId
from wrenloft_standins import Engine, EngineFaults, PlainService, ServiceFaults, serve

_ID = RequestId("request.1")
_MODEL = "majster-llm"


async def _call(engine: Engine, *, stream: bool) -> Run:
    """Run one completion against an engine that serves the model."""
    engine.set_serving(_MODEL, "v1")
    body = json.dumps({"model": _MODEL, "messages": [], "stream": stream, "max_tokens": 8})
    run = Run(_ID, idempotent=True)
    async with serve(engine) as server, open_session() as session:
        calls = RunnerCalls(session, server.address, echoes_id=True, resumable=True)
        headers = build_runner_headers(_ID, Priority.INTERACTIVE, "application/json")
        await calls.call(run, "POST", "/v1/chat/completions", headers, body.encode())
    return run


class TestCall:
    """Tests for ``RunnerCalls.call``."""

    async def test_resumes_a_broken_stream_at_its_offset(self) -> None:
        """The engine's connection breaks in the middle of a report.

        The same run is resumed where it broke, so the caller gets each token once and in order.
        """
        engine = Engine(token_seconds=0.001)
        engine.faults = EngineFaults(break_streams=1)
        run = await _call(engine, stream=True)
        assert run.state is RunState.DONE
        events = [json.loads(each[6:]) for each in run.body.split(b"\n\n")[:-2]]
        text = "".join(each["choices"][0]["delta"]["content"] for each in events)
        assert text == "0 1 2 3 4 5 6 7 "
        assert engine.stats()["runs"] == {_ID: 1}

    async def test_throws_away_a_crossed_answer(self) -> None:
        """The engine answers with another request's report.

        The answer carries another id; it is thrown away, and nobody gets it.
        """
        for stream in (False, True):
            engine = Engine(token_seconds=0.001)
            engine.faults = EngineFaults(crossed=1)
            run = await _call(engine, stream=stream)
            assert run.state is RunState.UNKNOWN
            assert b"another-request" not in run.body

    @pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
    async def test_sends_once_though_the_answer_is_cut_off(self, method: str) -> None:
        """A note is written, and then the runner's connection breaks before its answer.

        An HTTP client that sends PUT and DELETE again by itself would have it written twice;
        the fate is unknown here, and stays so.
        """
        service = PlainService()
        service.faults = ServiceFaults(drop_answers=1)
        run = Run(_ID, idempotent=False)
        async with serve(service) as server, open_session() as session:
            calls = RunnerCalls(session, server.address, echoes_id=False, resumable=False)
            await calls.call(run, "GET", "/stock", {}, b"")
            run = Run(_ID, idempotent=False)
            await calls.call(run, method, "/notes", {Header.REQUEST_ID: _ID}, b"note")
        assert run.state is RunState.UNKNOWN
        assert service.stats()["runs"] == {_ID: 1}

    async def test_says_not_run_when_the_runner_is_not_reached(self) -> None:
        """Nothing listens at the runner's address: the request can't have run."""
        async with serve(Engine()) as server:
            address = server.address
        run = Run(_ID, idempotent=False)
        async with open_session() as session:
            calls = RunnerCalls(session, address, echoes_id=True, resumable=True)
            await calls.call(run, "POST", "/v1/chat/completions", {}, b"{}")
        assert run.state is RunState.NOT_RUN
