"""Tests of the witness."""

from wrenloft_agent._runs import Runs, RunState

from wrenloft_core import RequestId

_ID = RequestId("request.1")


class TestOpen:
    """Tests for ``Runs.open``."""

    async def test_refuses_a_second_copy(self) -> None:
        """The caller asked once; the network delivers its request twice.

        The first copy takes the id, so the second finds it taken and can't start a second run.
        """
        runs = Runs(keep_seconds=60)
        assert runs.open(_ID, idempotent=False) is not None
        assert runs.open(_ID, idempotent=False) is None

    async def test_refuses_the_late_original_after_a_tombstone(self) -> None:
        """The caller was told 'not run'; then the original, delayed on the network, arrives.

        The node had lost its connection and asked the agent, which buried the id. The late
        original must find it buried, or 'not run' would have been a lie.
        """
        runs = Runs(keep_seconds=60)
        assert runs.bury(_ID).state is RunState.NOT_RUN
        assert runs.open(_ID, idempotent=False) is None

    async def test_remembers_a_spent_id_without_its_answer(self) -> None:
        """The caller asks again long after its note was written and its answer was dropped.

        The agent forgets answers in time, but never that a run that may not be repeated took
        place; otherwise a late question would be answered 'not run' and the note written twice.
        """
        runs = Runs(keep_seconds=0.0)
        run = runs.open(_ID, idempotent=False)
        assert run is not None
        run.state = RunState.STARTED
        run.end(RunState.DONE)
        run.ended_at -= 1.0
        runs.open(RequestId("another.1"), idempotent=True)
        assert runs.get(_ID) is None
        assert runs.open(_ID, idempotent=False) is None
        assert runs.bury(_ID).state is RunState.UNKNOWN


class TestBury:
    """Tests for ``Runs.bury``."""

    async def test_leaves_a_started_run_alone(self) -> None:
        """A question about a run that has started never stops it."""
        runs = Runs(keep_seconds=60)
        run = runs.open(_ID, idempotent=False)
        assert run is not None
        run.state = RunState.STARTED
        assert runs.bury(_ID).state is RunState.STARTED
        assert not run.ended

    async def test_stops_a_run_that_still_waits_for_a_slot(self) -> None:
        """The caller is told 'not run' while its request waits at the agent.

        Queued is not started; once buried, it must not start when a slot comes free.
        """
        runs = Runs(keep_seconds=60)
        run = runs.open(_ID, idempotent=False)
        assert run is not None
        assert runs.bury(_ID).state is RunState.NOT_RUN
        run.end(RunState.DONE)
        assert run.state is RunState.NOT_RUN
