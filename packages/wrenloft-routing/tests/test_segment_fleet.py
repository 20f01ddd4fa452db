"""Simulation of prompt segments that crash engines, at fleets of several sizes.

Requests with such a segment come at any node, no two alike, beside sound requests that share their
caller and their other segments. Nodes learn of each other's crashes with some delay.
"""

from collections.abc import Callable
from itertools import product
from random import Random

import pytest

from wrenloft_policy import Workload

from .segment_model import Clock, Kind, Model

SIZES = [3, 9, 33]
SEEDS = range(3)
MAX_SENT_AFTERWARDS = 3
"""Sends allowed from three seconds after the fifth crash on, at the whole fleet."""

SERVED_SHARE = 0.95
OBSERVED_SECONDS = 40.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replace the clock of all nodes."""
    clock = Clock()
    for module in ("_segment_ledger", "_segment_guard", "_crash_ledger", "_crash_guard"):
        monkeypatch.setattr(f"wrenloft_routing.{module}.read_clock", clock.read)
    return clock


def crash_on(*segments: str, after: float = 0.0) -> Callable[[Workload, float], bool]:
    """Return that engines crash on these segments from some time on."""
    return lambda workload, at: at >= after and not workload.segments.isdisjoint(segments)


def pick_sound(random: Random) -> set[str]:
    """Return the segments of a sound request: of its route, and of one of ten callers."""
    return {"route", f"caller{random.randrange(10)}"}


def add_segments(*segments: str) -> Callable[[Random], set[str]]:
    """Return what makes a sound request with further segments."""
    return lambda random: pick_sound(random) | set(segments)


def check(model: Model, *causes: str, kind: str = "sound") -> None:
    """Check what reached engines after the bound, and that sound requests are served."""
    latest = 0.0
    for cause in causes:
        bound = model.find_bound(cause)
        assert model.count_sent(cause, bound) <= MAX_SENT_AFTERWARDS
        times = [at for at, segments in model.crashed if cause in segments]
        latest = max(latest, times[min(4, len(times) - 1)])
    assert model.measure_served(kind, latest + 6.0) >= SERVED_SHARE


SOUND = Kind("sound", pick_sound, 40.0)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate", [0.5, 4.0, 15.0])
@pytest.mark.parametrize("silent", [False, True])
def test_crashing_segment_is_quarantined(
    clock: Clock, size: int, seed: int, rate: float, silent: bool
) -> None:
    """Guards against a segment that goes on to crash engines, however often it comes."""
    kinds = [SOUND, Kind("bad", add_segments("bad"), rate, start=5.0)]
    model = Model(clock, size, kinds, crash_on("bad"), seed=seed, silent=silent)
    model.run(OBSERVED_SECONDS)
    check(model, "bad")


@pytest.mark.parametrize("seed", SEEDS)
def test_route_with_rare_sound_requests_is_served(clock: Clock, seed: int) -> None:
    """Guards against holding back a shared segment whose requests come once in ten seconds."""
    kinds = [
        Kind("sound", pick_sound, 0.1),
        Kind("bad", add_segments("bad"), 4.0, start=5.0),
        Kind("other", lambda random: {"other", f"caller{random.randrange(10)}"}, 40.0),
    ]
    model = Model(clock, 9, kinds, crash_on("bad"), seed=seed)
    model.run(100.0)
    check(model, "bad")
    check(model, "bad", kind="other")


@pytest.mark.parametrize("seed", SEEDS)
def test_crashing_first_segment_is_quarantined(clock: Clock, seed: int) -> None:
    """Guards against holding back the callers who share a crashing segment of a route."""

    def make(random: Random) -> set[str]:
        return pick_sound(random) - {"route"} | {"bad"}

    kinds = [SOUND, Kind("bad", make, 4.0, start=5.0)]
    model = Model(clock, 9, kinds, crash_on("bad"), seed=seed)
    model.run(OBSERVED_SECONDS)
    check(model, "bad")


@pytest.mark.parametrize("seed", SEEDS)
def test_one_of_thirty_segments_is_found(clock: Clock, seed: int) -> None:
    """Guards against long prompts that hide the cause."""
    common = [f"s{n}" for n in range(60)]

    def make(random: Random) -> set[str]:
        return {"route", *random.sample(common, 28)}

    kinds = [
        Kind("sound", make, 30.0),
        Kind("bad", lambda random: make(random) | {"bad"}, 4.0, start=5.0),
    ]
    model = Model(clock, 9, kinds, crash_on("bad"), seed=seed)
    model.run(OBSERVED_SECONDS)
    check(model, "bad")


SOUND_BEFORE = [
    *product([1.0, 4.0, 15.0], SEEDS),
    # Seeds that have failed.
    *((15.0, seed) for seed in (101, 103, 130, 147, 105, 152)),
    (4.0, 154),
]


@pytest.mark.parametrize(("rate", "seed"), SOUND_BEFORE)
def test_segment_that_was_sound_before_is_quarantined(clock: Clock, seed: int, rate: float) -> None:
    """Guards against earlier answers that clear a segment which has begun to crash engines."""
    kinds = [SOUND, Kind("bad", add_segments("bad"), rate)]
    model = Model(clock, 9, kinds, crash_on("bad", after=60.0), seed=seed)
    model.run(100.0)
    check(model, "bad")


@pytest.mark.parametrize("seed", [*SEEDS, 124])
@pytest.mark.parametrize("number", [2, 5])
def test_several_crashing_segments_are_quarantined(clock: Clock, seed: int, number: int) -> None:
    """Guards against a shared segment that stands for several that crash engines at once."""
    names = [f"bad{n}" for n in range(number)]

    def make(random: Random) -> set[str]:
        return pick_sound(random) | {random.choice(names)}

    kinds = [SOUND, Kind("bad", make, 4.0, start=5.0)]
    model = Model(clock, 9, kinds, crash_on(*names), seed=seed, engines=14)
    model.run(60.0)
    check(model, *names)


VICTIMS = [
    *((0.0, rate, seed) for rate, seed in product([4.0, 15.0], range(100, 104))),
    *((30.0, rate, seed) for rate, seed in product([1.0, 4.0], range(100, 104))),
    # Seeds that have failed.
    *((30.0, 4.0, seed) for seed in (106, 116, 147)),
]


@pytest.mark.parametrize(("after", "rate", "seed"), VICTIMS)
def test_victims_of_two_crashing_segments_are_served(
    clock: Clock, seed: int, after: float, rate: float
) -> None:
    """Guards against holding back callers who are in progress at the crashes of both segments.

    Nobody has been answered before the first crash, or everybody has, so that earlier answers tell
    no segment from another.
    """
    bad = [Kind(each, add_segments(each), rate) for each in ("bad0", "bad1")]
    crashes = crash_on("bad0", "bad1", after=after)
    model = Model(clock, 3, [SOUND, *bad], crashes, seed=seed, engines=8)
    model.run(after + 30.0)
    check(model, "bad0", "bad1")


@pytest.mark.parametrize("seed", SEEDS)
def test_crashing_segments_of_the_same_requests_are_quarantined(clock: Clock, seed: int) -> None:
    """Guards against segments that hide each other as they always come together."""
    kinds = [SOUND, Kind("bad", add_segments("bad0", "bad1"), 4.0, start=5.0)]
    model = Model(clock, 9, kinds, crash_on("bad0", "bad1"), seed=seed)
    model.run(OBSERVED_SECONDS)
    check(model, "bad0", "bad1")


@pytest.mark.parametrize("seed", [*SEEDS, 117])
def test_equal_requests_are_quarantined_with_their_segment(clock: Clock, seed: int) -> None:
    """Guards against a segment that is taken for one request because they are all alike."""
    kinds = [
        SOUND,
        Kind("bad", lambda _: {"route", "bad"}, 4.0, contents=("x", "y"), start=5.0),
        Kind("bad again", add_segments("bad"), 1.0, start=15.0),
    ]
    model = Model(clock, 9, kinds, crash_on("bad"), seed=seed)
    model.run(OBSERVED_SECONDS)
    check(model, "bad")


@pytest.mark.parametrize("seed", SEEDS)
def test_content_that_crashes_engines_leaves_its_segments_alone(clock: Clock, seed: int) -> None:
    """Guards against holding back a segment for a single request that is repeated."""
    kinds = [
        SOUND,
        Kind("sound session", add_segments("session"), 1.0),
        Kind("bad", lambda _: {"route", "caller1", "session"}, 4.0, contents=("x",), start=5.0),
    ]
    model = Model(clock, 9, kinds, lambda workload, _: workload.content == "x", seed=seed)
    model.run(OBSERVED_SECONDS)
    assert len(model.crashed) <= 8
    assert model.measure_served("sound", 11.0) >= SERVED_SHARE
    assert model.measure_served("sound session", 11.0) >= SERVED_SHARE


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("number", [1, 2, 3, 4])
def test_few_crashes_hold_back_nothing_sound(clock: Clock, seed: int, number: int) -> None:
    """Guards against refusals of sound requests while little is known."""
    kinds = [SOUND, Kind("bad", add_segments("bad"), 1.0, start=5.0)]

    def crashes(workload: Workload, at: float) -> bool:
        return "bad" in workload.segments and len(model.crashed) < number

    model = Model(clock, 9, kinds, crashes, seed=seed)
    model.run(OBSERVED_SECONDS)
    assert model.measure_served("sound", 0.0) >= SERVED_SHARE


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("gap", [0.0, 0.05, 0.5])
@pytest.mark.parametrize("lost", [3, 7])
def test_loss_of_engines_holds_back_nothing(
    clock: Clock, seed: int, silent: bool, gap: float, lost: int
) -> None:
    """Guards against blaming common segments for a rack, or all engines, that lost power."""
    kinds = [SOUND, Kind("rare", lambda random: {"rare", f"caller{random.randrange(10)}"}, 1.0)]
    model = Model(clock, 9, kinds, crash_on(), seed=seed, silent=silent)
    model.run(20.0)
    for engine in model.engines[:lost]:
        model.crash(engine)
        model.run(gap)
    model.run(20.0)
    assert not model.held


@pytest.mark.parametrize("seed", SEEDS)
def test_frozen_node_sends_only_until_it_is_updated(clock: Clock, seed: int) -> None:
    """Guards against a node that resumes and knows nothing of the crashes meanwhile."""
    kinds = [SOUND, Kind("bad", add_segments("bad"), 4.0, start=5.0)]
    model = Model(clock, 9, kinds, crash_on("bad"), seed=seed)
    model.frozen = {1, 2}
    model.run(20.0)
    model.frozen = set()
    model.run(OBSERVED_SECONDS)
    check(model, "bad")


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_of_a_large_fleet_agree_in_time(clock: Clock, seed: int) -> None:
    """Guards against a bound that grows with the number of nodes."""
    kinds = [SOUND, Kind("bad", add_segments("bad"), 15.0, start=5.0)]
    model = Model(clock, 98, kinds, crash_on("bad"), seed=seed, engines=40)
    model.run(20.0)
    check(model, "bad")


@pytest.mark.parametrize("seed", SEEDS)
def test_zone_that_is_cut_off_sends_only_until_it_is_connected(clock: Clock, seed: int) -> None:
    """Guards against crashes that connected nodes miss, or nodes that miss them for good."""
    kinds = [SOUND, Kind("bad", add_segments("bad"), 4.0, start=5.0)]
    model = Model(clock, 9, kinds, crash_on("bad"), seed=seed)
    model.run(4.0)
    model.cut_off = {6, 7, 8}
    model.run(20.0)
    bound = model.find_bound("bad")
    assert model.count_sent("bad", bound, nodes=range(6)) <= MAX_SENT_AFTERWARDS
    model.cut_off = set()
    connected_at = model.elapsed
    model.run(20.0)
    assert model.count_sent("bad", connected_at + 3.0) <= MAX_SENT_AFTERWARDS
    assert model.measure_served("sound", connected_at + 6.0) >= SERVED_SHARE


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_nodes_learn_of_a_quarantine(clock: Clock, seed: int) -> None:
    """Guards against nodes, a relay among them, that start anew and know of no crash."""
    kinds = [SOUND, Kind("bad", add_segments("bad"), 4.0, start=5.0)]
    model = Model(clock, 9, kinds, crash_on("bad"), seed=seed)
    model.run(15.0)
    for first in range(0, 9, 3):
        model.restart(first, first + 1, first + 2)
        model.run(4.0)
    model.run(10.0)
    check(model, "bad")


@pytest.mark.parametrize("seed", SEEDS)
def test_segment_that_comes_every_twenty_seconds_is_quarantined(clock: Clock, seed: int) -> None:
    """Guards against crashes that are forgotten before the next one."""
    kinds = [SOUND, Kind("bad", add_segments("bad"), 0.05, start=5.0)]
    model = Model(clock, 9, kinds, crash_on("bad"), seed=seed)
    model.run(200.0)
    assert len(model.crashed) <= 4
    check(model, "bad")


@pytest.mark.parametrize("seed", SEEDS)
def test_segment_of_several_routes_is_quarantined_at_all(clock: Clock, seed: int) -> None:
    """Guards against a segment that has to crash engines anew on each route."""

    def make(random: Random) -> set[str]:
        return {"other", f"caller{random.randrange(10)}", "bad"}

    kinds = [
        SOUND,
        Kind("other", lambda random: make(random) - {"bad"}, 10.0),
        Kind("bad", add_segments("bad"), 2.0, start=5.0),
        Kind("bad elsewhere", make, 2.0, start=5.0),
    ]
    model = Model(clock, 9, kinds, crash_on("bad"), seed=seed)
    model.run(OBSERVED_SECONDS)
    check(model, "bad")
    check(model, "bad", kind="other")
