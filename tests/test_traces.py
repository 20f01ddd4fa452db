"""Replays recorded traces against the outcomes that they state."""

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

import pytest

from wrenloft_standins import Question, Reply, Site, open_site

_TRACES = sorted((Path(__file__).parent / "traces").glob("*.jsonl"))


def read_trace(path: Path) -> list[dict[str, Any]]:
    """Return the lines of a trace."""
    return [json.loads(line) for line in path.read_text().splitlines()]


async def inject(site: Site, fault: str, target: str) -> None:
    """Do to the site what was done when the trace was recorded."""
    if fault == "kill-agent":
        await site.deployment.agents[target].kill()
    elif fault == "stop-node":
        next(each for each in site.deployment.nodes if each.name == target).send(signal.SIGTERM)
    elif fault in ("service-out", "service-back"):
        await site.set_faults(site.keyvalue, outage=fault == "service-out")
    else:
        raise AssertionError(f"unknown fault {fault}")


async def ask(site: Site, question: Question) -> Reply:
    """Ask one node after another, as the recording callers did, while nothing whole comes.

    A stream that breaks when its agent is killed is never joined to another generation; the
    caller sees it break and asks again.
    """
    reply = Reply("lost")
    for node in site.nodes:
        reply = await site.send(question, node)
        if reply.outcome != "lost" or not question.repeatable:
            break
    return reply


async def replay(site: Site, lines: list[dict[str, Any]]) -> list[tuple[dict[str, Any], Reply]]:
    """Send the requests in their order, all at once between two faults."""
    replies: list[tuple[dict[str, Any], Reply]] = []
    running: list[tuple[dict[str, Any], asyncio.Task[Reply]]] = []
    for line in lines:
        if "fault" in line:
            # Keyed notes end first: on which side of the fault their claim falls must not
            # depend on how fast this machine is.
            await asyncio.gather(*(task for each, task in running if each["request"].get("key")))
            await inject(site, line["fault"], line["target"])
            continue
        question = Question(**line["request"])
        running.append((line, asyncio.create_task(ask(site, question))))
        await asyncio.sleep(0.01)
    for line, task in running:
        replies.append((line, await task))
    return replies


class TestReplay:
    """Tests for traces recorded by ``bench/load.py --trace``, with keyed notes added."""

    @pytest.mark.parametrize("trace", _TRACES, ids=lambda each: each.stem)
    async def test_ends_with_the_stated_outcomes(self, tmp_path: Path, trace: Path) -> None:
        """An agent is killed, the service is out and comes back, an entry node is stopped.

        Every request ends as its line of the trace states, and no note is written twice.
        """
        lines = read_trace(trace)
        async with open_site(tmp_path) as site:
            replies = await replay(site, lines)
            wrong = [
                (line["request"], reply.outcome, reply.body)
                for line, reply in replies
                if reply.outcome != line["outcome"]
            ]
            assert wrong == []
            answered = [reply for line, reply in replies if "chat" in line["request"]["path"]]
            assert all(each.request_id.encode() in each.body for each in answered)
            assert set((await site.notes()).values()) <= {1}
