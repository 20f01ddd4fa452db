"""Tests of two versions that are named within seconds, in virtual time."""

import hashlib
import importlib.util
import sys
from functools import cache
from pathlib import Path
from random import Random
from types import ModuleType
from unittest.mock import Mock

import pytest

from wrenloft_policy import list_span_chunks
from wrenloft_swarm import Neighbour, SwarmTransfer, VersionChunks, VersionName
from wrenloft_swarm._assignments import Assignments


def _load_fleet() -> ModuleType:
    """Import the model of a fleet, which lies beside this file and belongs to no package."""
    name = "virtual_fleet"
    if name not in sys.modules:
        spec = importlib.util.spec_from_file_location(name, Path(__file__).with_name(f"{name}.py"))
        assert spec is not None and spec.loader is not None
        sys.modules[name] = module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
    return sys.modules[name]


virtual_fleet = _load_fleet()

MAX_COPIES = 1.5
"""Copies of one version that may leave the origin: three for two versions are allowed."""

SMALL = {"agents": 12, "regions": 2, "chunks": 48, "chunk_bytes": 49_152}


@cache
def _play(case: str) -> "virtual_fleet.Fleet":  # type: ignore[name-defined]
    named, away, seconds = {
        "calm": ({2: 2.0, 3: 6.0}, (0.0, 0.0), 23.0),
        "outage": ({2: 2.0, 3: 5.0}, (4.5, 10.5), 23.0),
        "during outage": ({2: 2.0, 3: 5.0}, (4.5, 10.5), 10.4),
        "close": ({2: 2.0, 3: 4.0}, (0.0, 0.0), 18.0),
    }[case]
    return virtual_fleet.play(virtual_fleet.Scenario(named=named, away=away, **SMALL), seconds)


@cache
def _play_one_after_another(seed: int) -> "virtual_fleet.Fleet":  # type: ignore[name-defined]
    scenario = virtual_fleet.Scenario(
        named={2: 2.0, 3: 6.0}, agents=14, origin=7.3, between=10.0, due=8.0, layers=16, seed=seed
    )
    return virtual_fleet.play(scenario, 20.0)


class TestOverlaps:
    """Tests of the fetches and swaps of a whole fleet."""

    def test_both_versions_are_complete_before_they_are_due(self) -> None:
        """Fetched one after the other, the newer was first complete 0.5 s before it was due."""
        fleet = _play("calm")
        assert fleet.find_complete(2) < 2.0 + fleet.scenario.due
        assert fleet.find_complete(3, 0.4) < 6.0 + fleet.scenario.due - 1.0

    def test_origin_sends_the_next_version_while_the_older_spreads(self) -> None:
        """Guards against an idle link of the origin until an agent has the older version whole."""
        fleet = _play("calm")
        sent = max(fleet.out[2].values())
        assert min(fleet.out[3].values()) < max(sent, 6.5) + 1.5
        assert sent < fleet.find_complete(2) - 1.0
        assert min(fleet.out[3].values()) < fleet.find_complete(2)

    def test_older_version_is_completed_after_an_outage(self) -> None:
        """Guards against no engine with a permitted version because the older one was dropped."""
        fleet = _play("outage")
        assert fleet.find_complete(2) < 2.0 + fleet.scenario.due
        assert max(fleet.out[2].values()) < min(fleet.out[3].values()) + 0.5

    def test_what_is_out_spreads_during_an_outage(self) -> None:
        """Abandoned when the newer version is named, the older stays as it is for six seconds."""
        fleet = _play("during outage")
        name = virtual_fleet.VersionName(virtual_fleet.MODEL, 2)
        stored = [host.chunk_store.get(name).stored_count for host in fleet.hosts.values()]
        assert min(stored) == len(fleet.out[2]) < fleet.scenario.chunks

    def test_no_second_copies_leave_the_origin_after_an_outage(self) -> None:
        """Guards against second copies that delay the chunks that have not left the origin."""
        fleet = _play("outage")
        assert fleet.sent[2] <= MAX_COPIES * fleet.scenario.chunks

    def test_version_replaced_at_once_leaves_the_origin_no_more(self) -> None:
        """The bytes of a version that no engine will load cost as much as others."""
        fleet = _play("close")
        assert fleet.sent[2] < 0.7 * fleet.scenario.chunks
        assert not fleet.complete[2]
        assert fleet.find_complete(3, 1.0) < 4.0 + fleet.scenario.due

    @pytest.mark.parametrize("case", ["calm", "outage", "close"])
    def test_bytes_from_the_origin_and_between_regions_are_bounded(self, case: str) -> None:
        """Two versions at once must not make chunks leave the origin or cross more often."""
        fleet = _play(case)
        for number in fleet.scenario.named:
            assert fleet.sent[number] <= 2.1 * fleet.scenario.chunks
            assert fleet.crossed[number] <= 1.5 * fleet.scenario.chunks

    @pytest.mark.parametrize("case", ["calm", "close"])
    def test_engines_serve_a_permitted_version_at_any_time(self, case: str) -> None:
        """Guards against seconds in which requests may begin on no engine."""
        assert min(share for _, share in _play(case).capacity) > 0.2


class TestUnloading:
    """Tests of versions on which requests may no longer begin."""

    @pytest.mark.parametrize("named", [{2: 2.0}, {2: 2.0, 3: 4.0}], ids=["one", "another between"])
    def test_no_engine_keeps_a_version_past_its_deadline(self, named: dict[int, float]) -> None:
        """Guards against engines that begin requests which a link delivers after the deadline."""
        scenario = virtual_fleet.Scenario(named=named, away=(0.0, 20.0), due=8.0, **SMALL)
        fleet = virtual_fleet.play(scenario, 35.0)
        for host in fleet.hosts.values():
            assert host.unloaded[1] < 2.0 + scenario.due
            assert host.version == max(named)

    @pytest.mark.parametrize("seed", range(1, 4))
    def test_next_version_is_loaded_as_soon_as_the_engine_has_unloaded(self, seed: int) -> None:
        """Guards against staging and verifying only after the last stream on the old version."""
        scenario = virtual_fleet.Scenario(
            named={2: 2.0}, agents=14, origin=7.3, between=10.0, due=7.0, layers=16, seed=seed
        )
        fleet = virtual_fleet.play(scenario, 16.0)
        ends = {
            address: host.unloaded[1] + virtual_fleet.STREAM_SECONDS
            for address, host in fleet.hosts.items()
            if host.unloaded.get(1, 16.0) < host.ordered[2]
        }
        loads = [
            fleet.hosts[address].ordered[2] - end
            for address, end in ends.items()
            if fleet.complete[2][address] < end - 0.7
        ]
        verification = scenario.chunks * virtual_fleet.STAGE_SECONDS / 4
        assert loads and max(loads) < verification

    def test_engines_with_the_version_in_time_are_not_unloaded(self) -> None:
        """Guards against an engine that is emptied though it has the permitted version."""
        fleet = _play("calm")
        due = 2.0 + fleet.scenario.due
        in_time = [host for host in fleet.hosts.values() if host.served.get(2, due) < due - 1.0]
        assert in_time
        assert not any(host.unloaded for host in in_time)


class TestParts:
    """Tests of versions that are fetched in parts, one after the other."""

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_agents_fetch_for_others_the_part_that_they_load_first(self, seed: int) -> None:
        """Guards against chunks of a first part whose turn falls to agents that want the other."""
        fleet = _play_one_after_another(seed)
        chunks, layers = fleet.scenario.chunks, fleet.scenario.layers
        planned = 0
        for host in fleet.hosts.values():
            plan = host.reconciler._plans[3]
            others = [each.neighbour for each in fleet.hosts.values() if each is not host]
            assignments = Assignments(host.neighbour, others, plan.parts, chunks)
            wanted = list_span_chunks(plan.first, layers, chunks)
            turns = [
                chunk
                for chunk in range(chunks)
                if assignments.find_part(chunk) == assignments.own_part
            ]
            planned += plan.parts > 1
            assert list(wanted) == turns
        assert planned > len(fleet.hosts) // 2

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_every_version_is_split_between_the_same_agents(self, seed: int) -> None:
        """Guards against plans by what an agent observes: one part would be loaded too often."""
        hosts = _play_one_after_another(seed).hosts
        older, newer = (
            {
                address: host.reconciler._plans[number].first
                for address, host in hosts.items()
                if host.reconciler._plans[number].parts > 1
            }
            for number in (2, 3)
        )
        both = older.keys() & newer.keys()
        assert both
        assert [older[each] for each in both] == [newer[each] for each in both]


class TestLateness:
    """Tests of the time for which the chunks of a transfer have been late."""

    def test_agents_stay_late_when_the_origin_returns(self) -> None:
        """Guards against agents that divide late chunks differently and fetch second copies."""
        digests = [hashlib.sha256(bytes([each])).hexdigest() for each in range(4)]
        version_chunks = VersionChunks(VersionName(virtual_fleet.MODEL, 2), digests)
        own = Neighbour("10.0.0.1:1", near=True)
        sharing = Mock(overlaps=lambda number: True)
        transfer = SwarmTransfer(
            version_chunks, Mock(), Mock(), list, own, Random(1), sharing=sharing
        )
        assert not transfer.is_late()
        transfer._available_at -= 5.0
        assert transfer.is_late()
        version_chunks.add(0, bytes([0]), "test")
        assert transfer.is_late()
        assert transfer.find_last_new() > transfer._started_at - 1.0

    def test_only_version_is_no_longer_late_after_a_new_chunk(self) -> None:
        """Guards against a change for a version that overlaps no other."""
        digests = [hashlib.sha256(bytes([each])).hexdigest() for each in range(4)]
        version_chunks = VersionChunks(VersionName(virtual_fleet.MODEL, 2), digests)
        own = Neighbour("10.0.0.1:1", near=True)
        transfer = SwarmTransfer(version_chunks, Mock(), Mock(), list, own, Random(1))
        transfer._available_at -= 5.0
        assert transfer.is_late()
        version_chunks.add(0, bytes([0]), "test")
        assert not transfer.is_late()
