"""Configurations, shards and weights in real processes, under faults and their pairs."""

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from wrenloft_standins import MODEL, Site, ask_model, open_site, wait_for


async def wait_engines(site: Site, version: str, count: int) -> None:
    """Wait until so many engines serve a version."""
    wanted = site.weights[version].manifest.version

    async def reached() -> bool:
        stats = (await site.engine_stats()).values()
        return sum(each["serving"].get(MODEL) == wanted for each in stats) >= count

    await wait_for(reached, 60, f"{count} engines with {version}")


async def check_whole(site: Site) -> None:
    """Check that no engine ever held bytes other than those of a published version."""
    from wrenloft_core import digest_bytes

    whole = {
        each.manifest.version: str(digest_bytes(each.file.read_bytes()))
        for each in site.weights.values()
    }
    for stats in (await site.engine_stats()).values():
        for versions in stats["loaded"].values():
            assert all(whole[version] == digest for version, digest in versions.items())


def list_switches(stats: dict[str, Any]) -> list[str]:
    """Return the versions that an engine was ordered to serve, in order."""
    prefix = f"/orders/serve/{MODEL}/"
    return [each["path"].removeprefix(prefix) for each in stats["orders"] if prefix in each["path"]]


class TestConfiguration:
    """An accepted configuration is in force everywhere and never reverts."""

    async def test_one_of_two_racing_operators_wins(self, tmp_path: Path) -> None:
        """Two operators change the same revision through two nodes at the same moment.

        One is accepted, the other is told which change came first; the accepted one is in force
        at every node and agent.
        """
        async with open_site(tmp_path) as site:
            results = await asyncio.gather(
                site.apply(site.configure(answer_bytes=1001), base=1, node=site.nodes[0]),
                site.apply(site.configure(answer_bytes=1002), base=1, node=site.nodes[1]),
                return_exceptions=True,
            )
            accepted = [each for each in results if isinstance(each, int)]
            refused = [each for each in results if isinstance(each, RuntimeError)]
            assert accepted == [2]
            assert str(refused[0]).startswith("409")
            await site.wait_revision(2)

    async def test_survives_the_restart_of_every_node(self, tmp_path: Path) -> None:
        """Every entry node is killed and replaced, with new addresses.

        The new ones are ready only once they have the accepted revision, and nobody is ever
        answered under an older one.
        """
        async with open_site(tmp_path) as site:
            revision = await site.apply(site.configure(answer_bytes=2000))
            await site.wait_revision(revision)
            old = list(site.nodes)
            replacements = [
                await site.deployment.start_node(f"new-{n}", place)
                for n, place in enumerate(site.deployment.places)
            ]
            await asyncio.gather(*(each.kill() for each in old))
            await site.wait_revision(revision)
            await site.wait_replicas()
            replies = [await site.send(ask_model(MODEL, "x"), each) for each in replacements]
            assert {each.headers["X-Wrenloft-Revision"] for each in replies} == {str(revision)}

    async def test_survives_a_restart_of_which_no_agent_has_heard(self, tmp_path: Path) -> None:
        """Every entry node freezes, is replaced with new addresses, and then killed.

        The agents were told only of nodes that are dead by then. They must find the new ones all
        the same; otherwise no engine is ever ordered again, and callers find no replica.
        """
        async with open_site(tmp_path) as site:
            old = list(site.nodes)
            for each in old:
                each.send(signal.SIGSTOP)
            for number, place in enumerate(site.deployment.places):
                await site.deployment.start_node(f"new-{number}", place)
            await asyncio.gather(*(each.kill() for each in old))
            await site.wait_replicas()

    async def test_a_new_node_learns_it_from_a_peer_during_an_outage(self, tmp_path: Path) -> None:
        """The service is out when a node is replaced: it takes its peers' highest revision.

        One that reaches neither the service nor a peer is not ready, and refuses as not run.
        """
        async with open_site(tmp_path) as site:
            revision = await site.apply(site.configure(answer_bytes=3000))
            await site.wait_revision(revision)
            await site.set_faults(site.keyvalue, outage=True)
            place = site.deployment.places[0]
            alone = await site.deployment.start_node("alone", place)
            refused = await site.send(ask_model(MODEL, "x"), alone)
            assert refused.outcome == "not-run"
            async with site.session.get(f"http://{alone.http}/readyz") as response:
                assert response.status == 503
            await alone.kill()
            site.deployment.node_settings = {
                **site.deployment.node_settings,
                "peers": [each.grpc for each in site.nodes],
            }
            told = await site.deployment.start_node("told", place)

            async def answers() -> bool:
                reply = await site.send(ask_model(MODEL, "x"), told)
                return reply.outcome == "done" and reply.headers["X-Wrenloft-Revision"] == str(
                    revision
                )

            await wait_for(answers, 30, "the new node's answers")

    async def test_cold_start_while_the_service_is_out(self, tmp_path: Path) -> None:
        """Everything starts during an outage: nobody is ready, and then everybody is."""
        async with open_site(tmp_path, configure=False) as site:
            await site.apply(site.configure(), base=0)
            await site.wait_replicas()
            old = [*site.nodes, *site.deployment.agents.values()]
            await asyncio.gather(*(each.kill() for each in old))
            await site.set_faults(site.keyvalue, outage=True)
            nodes = [
                await site.deployment.start_node(f"new-{n}", place)
                for n, place in enumerate(site.deployment.places)
            ]
            replies = [await site.send(ask_model(MODEL, "x"), each) for each in nodes]
            assert {each.outcome for each in replies} == {"not-run"}
            await site.set_faults(site.keyvalue, outage=False)
            agents = [
                await site.deployment.start_agent(f"{MODEL}-{n}", MODEL, place, "engine")
                for n, place in enumerate(site.deployment.places)
            ]
            assert len(agents) == 3

            async def answers() -> bool:
                replies = [await site.send(ask_model(MODEL, "x"), each) for each in nodes]
                return {each.outcome for each in replies} == {"done"}

            await wait_for(answers, 40, "answers from every node")

    async def test_a_withdrawn_model_answers_nowhere(self, tmp_path: Path) -> None:
        """Once a model is withdrawn everywhere, no node lets a request through, and none runs."""
        async with open_site(tmp_path) as site:
            text = site.configure()
            model = text[text.index("[models") : text.index("[services")]
            revision = await site.apply(text.replace(model, ""))
            await site.wait_revision(revision)
            before = await site.engine_stats()
            replies = [await site.send(ask_model(MODEL, "x"), each) for each in site.nodes]
            assert {each.status for each in replies} == {404}
            after = await site.engine_stats()
            assert [each["runs"] for each in after.values()] == [
                each["runs"] for each in before.values()
            ]


class TestOwner:
    """The owner of a model's shard dies or is frozen."""

    @pytest.mark.parametrize("ignores", [False, True])
    async def test_a_frozen_owner_does_no_harm_when_it_wakes(
        self, tmp_path: Path, ignores: bool
    ) -> None:
        """The owner is stopped for longer than its lease and then goes on.

        Meanwhile its successor brings a newer version. The woken node sees that its deadline has
        passed; whatever it had under way is refused by the agents, also where the engines ignore
        fencing numbers. No engine goes back to the old version.
        """
        async with open_site(tmp_path) as site:
            for name, runner in site.deployment.runners.items():
                if name.startswith(MODEL):
                    await site.set_faults(runner, ignores_fencing=ignores)
            owner = (await site.deployment.call_operators(f"owner-of-model/{MODEL}"))["owner"]
            frozen = next(each for each in site.nodes if owner.startswith(f"{each.name}."))
            awake = [each for each in site.nodes if each is not frozen]
            frozen.send(signal.SIGSTOP)
            await site.apply(site.configure("second"), node=awake[0])
            await wait_engines(site, "second", 3)
            frozen.send(signal.SIGCONT)
            await site.wait_revision(2)
            await asyncio.sleep(2)
            first = site.weights["first"].manifest.version
            second = site.weights["second"].manifest.version
            for stats in (await site.engine_stats()).values():
                assert stats["serving"][MODEL] == second
                assert list_switches(stats) in ([first, second], [second])
            await check_whole(site)

    async def test_a_burst_survives_its_owner_and_draws_little_more(self, tmp_path: Path) -> None:
        """The owner is killed in the middle of a burst, while chunks arrive corrupt.

        Its successor asks the agents what they hold before it grants permits, so the origin
        sends again only what the fleet did not have; every replica is whole in the end.
        """
        async with open_site(tmp_path) as site:
            await site.set_faults(site.origin, corrupt=0.1, delay=0.1)
            owner = (await site.deployment.call_operators(f"owner-of-model/{MODEL}"))["owner"]
            victim = next(each for each in site.nodes if owner.startswith(f"{each.name}."))
            before = (await site.deployment.fleet.read_stats(site.origin))["bytes_sent"]
            await site.apply(site.configure("second"), node=victim)
            await asyncio.sleep(0.3)
            await victim.kill()
            await wait_engines(site, "second", 3)
            sent = (await site.deployment.fleet.read_stats(site.origin))["bytes_sent"] - before
            await check_whole(site)
            assert sent <= 2 * site.weights["second"].manifest.total


class TestWeights:
    """Whole versions only, whatever happens on the way."""

    async def test_a_swap_always_leaves_a_whole_version_serving(self, tmp_path: Path) -> None:
        """Requests keep coming while a version replaces another and an agent is killed.

        Every answer names one whole version, and none is refused for the lack of one.
        """
        async with open_site(tmp_path) as site:
            versions = {each.manifest.version for each in site.weights.values()}
            stop = asyncio.Event()
            seen: list[str] = []

            async def keep_asking() -> None:
                caller = site.caller()
                while not stop.is_set():
                    reply = await caller.ask(ask_model(MODEL, "x", max_tokens=4))
                    assert reply.outcome == "done"
                    seen.append(reply.headers["X-Wrenloft-Version"])

            asking = [asyncio.create_task(keep_asking()) for _ in range(4)]
            await site.apply(site.configure("second"))
            await asyncio.sleep(0.2)
            await site.deployment.agents[f"{MODEL}-2"].kill()
            await wait_engines(site, "second", 2)
            stop.set()
            await asyncio.gather(*asking)
            assert set(seen) <= versions
            await check_whole(site)

    async def test_spreads_on_while_the_origin_is_down(self, tmp_path: Path) -> None:
        """A host joins while the origin is down: it gets the model from the others."""
        async with open_site(tmp_path) as site:
            await site.set_faults(site.origin, down=True)
            await site.deployment.start_host(f"{MODEL}-9", MODEL, 0, "engine")
            await site.apply(site.configure(replicas=4))
            await wait_engines(site, "first", 4)
            await check_whole(site)

    async def test_a_restarted_agent_takes_over_what_its_engine_serves(
        self, tmp_path: Path
    ) -> None:
        """An agent is killed and replaced; its engine goes on serving without a new load."""
        async with open_site(tmp_path) as site:
            await site.deployment.agents[f"{MODEL}-1"].kill()
            place = site.deployment.places[1]
            await site.deployment.start_agent(f"{MODEL}-1", MODEL, place, "engine")
            await site.wait_replicas()
            stats = (await site.engine_stats())[f"{MODEL}-1"]
            assert len(list_switches(stats)) == 1
