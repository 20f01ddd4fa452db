"""Requests through real processes, while processes are killed, frozen, cut off and stopped."""

import asyncio
import json
import signal
from pathlib import Path

import pytest

from wrenloft_core import Header
from wrenloft_standins import (
    MODEL,
    SECRET,
    Process,
    Question,
    Reply,
    Site,
    ask_model,
    open_site,
    wait_for,
)


def write_note(text: str, key: str = "") -> Question:
    """Return a call that writes a note, which may not run twice."""
    return Question("POST", "/v1/services/sklad-app/notes", {"note": text}, key=key)


def count_note(notes: dict[str, int], text: str) -> int:
    """Return how often a note was written."""
    return notes.get(json.dumps({"note": text}), 0)


async def slow_down(site: Site, seconds: float) -> None:
    """Make the plain service slow, so that faults meet runs in progress."""
    await site.set_faults(site.deployment.runners["sklad-app-0"], delay=seconds)


async def wait_written(site: Site, text: str) -> None:
    """Wait until a note's run has started."""

    async def written() -> bool:
        return count_note(await site.notes(), text) == 1

    await wait_for(written, 30, "note started")


async def find_owner_of(site: Site, key: str) -> Process:
    """Return the process that owns a key's shard."""
    answer = await site.deployment.call_operators(f"owner/liptov/{key}")
    return next(each for each in site.nodes if answer["owner"].startswith(f"{each.name}."))


async def pick_key(site: Site, *, owned_by: int) -> str:
    """Return a key whose shard a given node owns."""
    for number in range(500):
        owner = await find_owner_of(site, f"key-{number}")
        if owner is site.deployment.nodes[owned_by]:
            return f"key-{number}"
    raise AssertionError("no key found")


async def wait_leaving(site: Site, agent: Process) -> None:
    """Wait until an agent refuses new work."""

    async def refuses() -> bool:
        async with site.session.get(f"http://{agent.http}/readyz") as response:
            return response.status != 200

    await wait_for(refuses, 30, "agent leaving")


def read_text(reply: Reply) -> str:
    """Return the text of a streamed answer."""
    events = [each for each in reply.body.split(b"\n\n") if each.startswith(b"data: {")]
    return "".join(json.loads(each[6:])["choices"][0]["delta"]["content"] for each in events)


class TestWholePath:
    """The path without faults, through every kind of request."""

    async def test_answers_are_whole_and_carry_what_was_promised(self, tmp_path: Path) -> None:
        """A caller asks for addresses, then streams, asks whole, and writes a keyed note."""
        async with open_site(tmp_path) as site:
            caller = site.caller()
            whole = await caller.ask(ask_model(MODEL, "turning", max_tokens=5))
            streamed = await caller.ask(ask_model(MODEL, "rind", stream=True, max_tokens=40))
            first = await caller.ask(write_note("once", key="k"))
            again = await caller.ask(write_note("once", key="k"))
            conflict = await site.send(write_note("other", key="k"))
            assert json.loads(whole.body)["choices"][0]["message"]["content"] == "0 1 2 3 4 "
            assert read_text(streamed) == "".join(f"{n} " for n in range(40))
            assert streamed.request_id.encode() in streamed.body
            assert (first.outcome, first.body) == (again.outcome, again.body)
            assert (conflict.outcome, conflict.status) == ("not-run", 422)
            assert count_note(await site.notes(), "once") == 1
            for header in (Header.REVISION, Header.ATTEMPTS, Header.REQUEST_ID):
                assert whole.headers[header]

    async def test_strangers_are_refused(self, tmp_path: Path) -> None:
        """Unknown keys, hidden models and wrong secrets get nothing, and nothing runs."""
        async with open_site(tmp_path) as site:
            question = ask_model("no-such-model", "x")
            hidden = await site.send(question)
            agent = site.deployment.agents[f"{MODEL}-0"]
            async with site.session.post(f"http://{agent.http}/run/v1/chat/completions") as bare:
                assert bare.status == 401
            async with site.session.get(f"http://{agent.http}/chunks/{'0' * 64}") as chunk:
                assert chunk.status == 401
            async with site.session.post(
                f"http://{site.nodes[0].http}/v1/chat/completions", json={"model": MODEL}
            ) as keyless:
                assert keyless.status == 401
            nested = "[" * 100_000
            async with site.session.post(
                f"http://{site.nodes[0].http}/v1/chat/completions",
                data=nested,
                headers={"Authorization": "Bearer cellar-key"},
            ) as deep:
                assert deep.status == 400
            assert (hidden.outcome, hidden.status) == ("not-run", 404)
            assert (await site.caller().ask(ask_model(MODEL, "x"))).outcome == "done"


class TestKilled:
    """Processes end without a word."""

    @pytest.mark.parametrize("pair", ["gateway", "owner", "gateway and owner"])
    async def test_a_keyed_note_is_written_once(self, tmp_path: Path, pair: str) -> None:
        """A cellar master's note is being written when entry nodes are killed.

        The caller loses its connection and asks again with the same key through another node.
        The claim was written before the note was sent, so whoever owns the key now finds the run
        at its agent and returns that run's answer; the note is written once.
        """
        async with open_site(tmp_path) as site:
            gateway = site.deployment.nodes[0]
            owner = site.deployment.nodes[0 if pair == "gateway" else 1]
            key = await pick_key(site, owned_by=0 if pair == "gateway" else 1)
            await slow_down(site, 1.5)
            first = asyncio.create_task(site.send(write_note("turned", key), gateway))
            await wait_written(site, "turned")
            if pair != "owner":
                await gateway.kill()
                assert (await first).outcome == "lost"
            if pair != "gateway":
                await owner.kill()
            reply = await site.caller().ask(write_note("turned", key))
            assert reply.outcome == "done"
            assert json.loads(json.loads(reply.body)["written"]) == {"note": "turned"}
            assert count_note(await site.notes(), "turned") == 1

    async def test_a_note_whose_agent_died_stays_unknown(self, tmp_path: Path) -> None:
        """The agent is killed after the note was started; no witness is left.

        The caller is told 'unknown', and told so again: asking once more never writes it twice.
        """
        async with open_site(tmp_path) as site:
            await slow_down(site, 1.0)
            first = asyncio.create_task(site.send(write_note("logged", "k")))
            await wait_written(site, "logged")
            await site.deployment.agents["sklad-app-0"].kill()
            assert (await first).outcome == "unknown"
            place = site.deployment.places[0]
            await site.deployment.start_agent("sklad-app-0", "sklad-app", place, "service")

            async def serves_again() -> bool:
                reply = await site.send(write_note("afresh", "another"))
                return reply.outcome == "done"

            await wait_for(serves_again, 30, "service")
            again = await site.send(write_note("logged", "k"), site.nodes[1])
            assert again.outcome == "unknown"
            assert count_note(await site.notes(), "logged") == 1

    async def test_an_unkeyed_note_is_never_sent_again(self, tmp_path: Path) -> None:
        """Without a key there is one attempt: when its agent dies, the outcome is unknown."""
        async with open_site(tmp_path) as site:
            await slow_down(site, 1.0)
            first = asyncio.create_task(site.send(write_note("batch")))
            await wait_written(site, "batch")
            await site.deployment.agents["sklad-app-0"].kill()
            assert (await first).outcome == "unknown"
            assert count_note(await site.notes(), "batch") == 1

    async def test_reports_go_on_when_agents_die(self, tmp_path: Path) -> None:
        """Two of three agents are killed under load: callers still get every report, whole."""
        async with open_site(tmp_path) as site:
            callers = [site.caller() for _ in range(30)]
            work = [
                asyncio.create_task(each.ask(ask_model(MODEL, f"r{n}", max_tokens=60)))
                for n, each in enumerate(callers)
            ]
            await asyncio.sleep(0.15)
            await site.deployment.agents[f"{MODEL}-0"].kill()
            await site.deployment.agents[f"{MODEL}-1"].kill()
            replies = await asyncio.gather(*work)
            assert {each.outcome for each in replies} == {"done"}
            assert all(each.request_id.encode() in each.body for each in replies)


class TestCrossed:
    """Answers that arrive late, broken or at the wrong request."""

    async def test_a_crossed_answer_reaches_nobody(self, tmp_path: Path) -> None:
        """Each engine answers once with another request's report.

        The agents throw these away; the reports may be repeated, so callers get their own.
        """
        async with open_site(tmp_path) as site:
            for name in (f"{MODEL}-0", f"{MODEL}-1"):
                await site.set_faults(site.deployment.runners[name], crossed=1)
            replies = await asyncio.gather(
                *(site.caller().ask(ask_model(MODEL, f"r{n}")) for n in range(8))
            )
            assert {each.outcome for each in replies} == {"done"}
            assert all(each.request_id.encode() in each.body for each in replies)

    async def test_a_broken_stream_is_one_generation(self, tmp_path: Path) -> None:
        """Engine connections break in mid-stream; each answer is one run's, from 0 to its end."""
        async with open_site(tmp_path) as site:
            for name, runner in site.deployment.runners.items():
                if name.startswith(MODEL):
                    await site.set_faults(runner, break_streams=2)
            replies = await asyncio.gather(
                *(
                    site.caller().ask(ask_model(MODEL, f"s{n}", stream=True, max_tokens=30))
                    for n in range(9)
                )
            )
            expected = "".join(f"{n} " for n in range(30))
            assert [read_text(each) for each in replies] == [expected] * 9
            runs = [
                count
                for stats in (await site.engine_stats()).values()
                for count in stats["runs"].values()
            ]
            assert set(runs) == {1}


class TestOutage:
    """The key-value service is out."""

    async def test_alarms_and_reports_go_on_and_keyed_notes_are_refused(
        self, tmp_path: Path
    ) -> None:
        """The service is out for longer than every lease.

        Alarms and reports need no new agreement and are answered. A keyed note can't be claimed:
        it is refused as not run, with a time to come back, and once the service is back the same
        key writes it once.
        """
        async with open_site(tmp_path) as site:
            await site.set_faults(site.keyvalue, outage=True)
            await asyncio.sleep(3)
            alarm = await site.send(ask_model(MODEL, "door", priority="alarm", idempotent=False))
            report = await site.send(ask_model(MODEL, "rind"))
            refused = await site.send(write_note("later", key="k"))
            assert (alarm.outcome, report.outcome) == ("done", "done")
            assert refused.outcome == "not-run"
            assert refused.error()["retry"]["allowed"]
            assert count_note(await site.notes(), "later") == 0
            await site.set_faults(site.keyvalue, outage=False)
            assert (await site.caller().ask(write_note("later", key="k"))).outcome == "done"
            assert count_note(await site.notes(), "later") == 1

    async def test_lost_replies_double_nothing(self, tmp_path: Path) -> None:
        """A third of the service's writes take effect without a reply, and a node is killed."""
        async with open_site(tmp_path) as site:
            await site.set_faults(site.keyvalue, lose_replies=0.3)
            work = [
                asyncio.create_task(site.caller().ask(write_note(f"n{n}", key=f"k{n}")))
                for n in range(20)
            ]
            await asyncio.sleep(0.1)
            await site.deployment.nodes[2].kill()
            replies = await asyncio.gather(*work)
            await site.set_faults(site.keyvalue, lose_replies=0.0)
            assert [each for each in replies if each.outcome != "done"] == []
            assert set((await site.notes()).values()) == {1}


class TestPlannedStop:
    """SIGTERM: nothing is cut off, nothing new arrives."""

    async def test_an_entry_node_ends_after_its_last_request(self, tmp_path: Path) -> None:
        """An entry node is stopped while it streams a long report.

        The stream ends whole. A caller that still holds the node's address is served until the
        time for which it may keep the list has passed, and is then told 'not run' or refused.
        """
        async with open_site(tmp_path) as site:
            node = site.deployment.nodes[0]
            question = ask_model(MODEL, "long", stream=True, max_tokens=1200)
            long = asyncio.create_task(site.send(question, node))
            await asyncio.sleep(0.3)
            node.send(signal.SIGTERM)
            await asyncio.sleep(0.3)
            held = await site.send(ask_model(MODEL, "holds the address"), node)
            reply = await long
            assert held.outcome == "done"
            assert read_text(reply) == "".join(f"{n} " for n in range(1200))
            assert await node.wait() == 0
            late = await site.send(ask_model(MODEL, "late"), node)
            assert late.outcome in ("lost", "not-run")

    async def test_an_agent_ends_after_its_last_run_and_gets_no_new_one(
        self, tmp_path: Path
    ) -> None:
        """A host is taken out of service while reports run on it.

        Its agent says at once that it leaves and refuses new work itself, so however late a
        node hears of it, no request starts there; the reports in progress end whole.
        """
        async with open_site(tmp_path) as site:
            agent = site.deployment.agents[f"{MODEL}-0"]
            question = ask_model(MODEL, "long", stream=True, max_tokens=400)
            long = [asyncio.create_task(site.caller().ask(question)) for _ in range(6)]
            await asyncio.sleep(0.3)
            agent.send(signal.SIGTERM)
            await wait_leaving(site, agent)
            runs = len((await site.engine_stats())[f"{MODEL}-0"]["runs"])
            later = await asyncio.gather(
                *(site.caller().ask(ask_model(MODEL, f"l{n}")) for n in range(20))
            )
            replies = await asyncio.gather(*long)
            assert [each for each in replies if each.outcome != "done"] == []
            expected = "".join(f"{n} " for n in range(400))
            assert [read_text(each) for each in replies] == [expected] * 6
            assert [each for each in later if each.outcome != "done"] == []
            assert len((await site.engine_stats())[f"{MODEL}-0"]["runs"]) == runs
            assert await agent.wait() == 0

    async def test_a_leaving_agent_refuses_what_a_late_node_sends(self, tmp_path: Path) -> None:
        """A node that has not heard yet that a host leaves sends it a request.

        The agent refuses, with proof that nothing ran, and the node can go elsewhere.
        """
        async with open_site(tmp_path) as site:
            agent = site.deployment.agents["sklad-app-0"]
            status = await site.status()
            name = next(each["id"] for each in status["agents"] if "sklad" in each["id"])
            await slow_down(site, 1.0)
            held = asyncio.create_task(site.send(write_note("held")))
            await wait_written(site, "held")
            agent.send(signal.SIGTERM)
            await wait_leaving(site, agent)
            headers = {
                Header.SECRET: SECRET,
                Header.AGENT: name,
                Header.REQUEST_ID: "late.1",
                Header.MODEL: "sklad-app",
                Header.PRIORITY: "interactive",
                Header.IDEMPOTENT: "false",
            }
            url = f"http://{agent.http}/run/notes"
            async with site.session.post(url, data=b"late", headers=headers) as response:
                assert response.headers[Header.OUTCOME] == "not-run"
            assert (await held).outcome == "done"
            assert "late" not in await site.notes()

    async def test_a_keyed_note_survives_the_stop_of_its_gateway(self, tmp_path: Path) -> None:
        """The gateway of a slow keyed note is stopped: it ends only after the note's answer."""
        async with open_site(tmp_path) as site:
            node = site.deployment.nodes[0]
            await slow_down(site, 3.0)
            note = asyncio.create_task(site.send(write_note("slow", "k"), node))
            await wait_written(site, "slow")
            assert await node.stop() == 0
            assert (await note).outcome == "done"
            again = await site.caller().ask(write_note("slow", "k"))
            assert again.body == (await note).body
            assert count_note(await site.notes(), "slow") == 1
