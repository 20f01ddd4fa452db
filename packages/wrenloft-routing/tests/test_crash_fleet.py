"""Simulation of a request that crashes endpoints, repeated at fleets of many entry nodes.

Callers see their streams break for as long as such a request is sent. Repeats reach several nodes
in the same instant, each is tried twice, and a node that does not know of the crashes sends it on.
Updates go from nodes to relays, between the zones' relays, and from relays to their nodes. Relays
may fail, and nodes may restart or be frozen.
"""

from dataclasses import dataclass, field
from random import Random

import pytest

from wrenloft_core import ContentId, IncarnationId, read_clock
from wrenloft_policy import Crash, compute_frame_interval
from wrenloft_routing import CrashLedger, CrashSource

CONTENT = ContentId("c")
STEP_SECONDS = 0.025
RUN_SECONDS = 0.2
"""From a send to the crash."""

ATTEMPTS = 2
REPEAT_SECONDS = 0.1
NODES_PER_REPEAT = 3
"""Nodes that receive a repeat in the same instant."""

RELAY_FAILOVER_SECONDS = 1.1
"""From the failure of a relay until the next one sends: timeout, connection and merging."""

MAX_SENDS_AFTER_BOUND = 3
"""Sends allowed after the bound that follows the third crash, at the whole fleet."""


@dataclass
class Zone:
    """Nodes that follow one relay; another one takes over when it fails."""

    nodes: list[int]
    relay: int
    silent_until: float = 0.0


@dataclass
class Model:
    """A fleet simulated in time steps."""

    zones: list[Zone]
    random: Random
    ledgers: list[CrashLedger] = field(default_factory=list)
    sent_revisions: dict[tuple[int, int], int] = field(default_factory=dict)
    next_at: dict[tuple[int, int], float] = field(default_factory=dict)
    running: list[tuple[float, int, int]] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    sends: list[float] = field(default_factory=list)
    frozen: set[int] = field(default_factory=set)
    now: float = 0.0

    def send_updates(self, source: int, target: int, interval: float) -> None:
        """Send changes over one connection, if its next message is due."""
        pair = (source, target)
        if self.now < self.next_at.get(pair, 0.0) or {source, target} & self.frozen:
            return
        self.next_at[pair] = self.now + interval
        ledger = self.ledgers[source]
        updates = ledger.list_changes(self.sent_revisions.get(pair, 0))
        self.ledgers[target].merge(updates, CrashSource.PEER)
        self.sent_revisions[pair] = ledger.revision

    def exchange_updates(self) -> None:
        """Let all nodes and relays exchange updates."""
        live = [zone for zone in self.zones if self.now >= zone.silent_until]
        for zone in live:
            interval = compute_frame_interval(len(zone.nodes))
            for node in zone.nodes:
                if node != zone.relay:
                    self.send_updates(node, zone.relay, interval)
                    self.send_updates(zone.relay, node, interval)
            for other in live:
                if other is not zone:
                    self.send_updates(
                        zone.relay, other.relay, compute_frame_interval(len(self.zones) - 1)
                    )

    def restart(self, node: int) -> None:
        """Reset a node's ledger."""
        self.ledgers[node] = CrashLedger()
        self.sent_revisions = {
            pair: at for pair, at in self.sent_revisions.items() if node not in pair
        }

    def kill_relay(self, zone: Zone) -> None:
        """Restart a relay; the next node of its zone takes over."""
        self.restart(zone.relay)
        zone.relay = zone.nodes[(zone.nodes.index(zone.relay) + 1) % len(zone.nodes)]
        zone.silent_until = self.now + RELAY_FAILOVER_SECONDS
        self.sent_revisions = {
            pair: at for pair, at in self.sent_revisions.items() if zone.relay not in pair
        }

    def send(self, node: int, attempts: int) -> None:
        """Send the request from a node, unless it is quarantined there."""
        if node in self.frozen or self.ledgers[node].find_quarantine(CONTENT) is not None:
            return
        self.sends.append(self.now)
        self.running.append((self.now + RUN_SECONDS, node, attempts))

    def crash(self) -> None:
        """Let endpoints crash, and their nodes retry elsewhere."""
        due = [each for each in self.running if each[0] <= self.now]
        self.running = [each for each in self.running if each[0] > self.now]
        for _, node, attempts in due:
            self.crashes.append(self.now)
            incarnation = IncarnationId(f"e{len(self.crashes)}")
            crash = Crash(read_clock())
            self.ledgers[node].record(CONTENT, incarnation, crash, CrashSource.OWN)
            if attempts > 1:
                self.send(node, attempts - 1)

    def run(self, seconds: float, disturb) -> None:
        """Repeat the request; call ``disturb`` once the third endpoint has crashed."""
        disturbed = False
        repeat_at = 0.0
        until = self.now + seconds
        while self.now < until:
            self.crash()
            if len(self.crashes) >= 3 and not disturbed:
                disturbed = True
                disturb(self)
            if self.now >= repeat_at:
                repeat_at = self.now + REPEAT_SECONDS
                for node in self.random.sample(range(len(self.ledgers)), NODES_PER_REPEAT):
                    self.send(node, ATTEMPTS)
            self.exchange_updates()
            self.now += STEP_SECONDS


def _build(sizes: list[int], seed: int) -> Model:
    zones = []
    first = 0
    for size in sizes:
        nodes = list(range(first, first + size))
        zones.append(Zone(nodes, nodes[0]))
        first += size
    return Model(zones, Random(seed), [CrashLedger() for _ in range(first)])


def _no_fault(model: Model) -> None:
    return


def _kill_one_relay(model: Model) -> None:
    model.kill_relay(model.zones[0])


def _kill_all_relays(model: Model) -> None:
    for zone in model.zones:
        model.kill_relay(zone)


FLEETS = {9: ([3, 3, 3], 3.0), 38: ([13, 13, 12], 4.0), 98: ([20, 20, 20, 19, 19], 5.0)}
"""Nodes by zone, and the seconds after which all reachable ones must know, by size."""


@pytest.mark.parametrize("size", FLEETS)
@pytest.mark.parametrize("disturb", [_no_fault, _kill_one_relay, _kill_all_relays])
@pytest.mark.parametrize("seed", range(3))
def test_requests_stop_within_the_bound(size: int, disturb, seed: int) -> None:
    """Thirty repeats a second at random nodes, three in each instant, two attempts each."""
    sizes, bound = FLEETS[size]
    model = _build(sizes, seed)
    model.run(bound + 4.0, disturb)
    third = model.crashes[2]
    assert sum(at > third + bound for at in model.sends) <= MAX_SENDS_AFTER_BOUND


@pytest.mark.parametrize("size", FLEETS)
def test_restarted_or_resumed_node_is_updated_within_the_bound(size: int) -> None:
    """Nodes are frozen or restarted during the updates; each sends only until it is updated."""
    sizes, bound = FLEETS[size]
    model = _build(sizes, seed=1)

    def disturb(model: Model) -> None:
        model.frozen = {1, 2}
        model.restart(4)

    model.run(3.0, disturb)
    model.frozen = set()
    model.restart(5)
    woken_at = model.now
    model.run(bound + 3.0, _no_fault)
    assert sum(at > woken_at + bound for at in model.sends) <= MAX_SENDS_AFTER_BOUND
    assert all(each.find_quarantine(CONTENT) is not None for each in model.ledgers)
