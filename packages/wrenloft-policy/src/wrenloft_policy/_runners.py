"""Choice of a runner for a request."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from wrenloft_core import AgentId, PlaceName, RegionName


@dataclass(frozen=True, slots=True)
class RunnerCandidate:
    """A runner that could take a request, as known to a node.

    :param capacity: requests that the runner processes concurrently.
    :param reported: requests running and waiting, as last reported.
    :param sent_since: requests sent by this node since that report, less those that ended.
    :param own: requests of this node that are in progress there.
    :param ready_seconds: seconds since the runner became ready.
    :param cached: whether the request's prefix is probably cached there.
    """

    agent_id: AgentId
    place: PlaceName
    region: RegionName
    capacity: int
    reported: int
    sent_since: int
    own: int
    ready_seconds: float
    cached: bool = False


@dataclass(frozen=True, slots=True)
class ScoreWeights:
    """Weights of the score, in units of a runner's whole capacity.

    :param other_place: penalty of another availability zone in the same region.
    :param other_region: penalty of another region.
    :param cached: bonus of a cached prefix.
    :param slow_start: seconds until a runner that became ready gets its full load.
    """

    other_place: float = 0.05
    other_region: float = 0.15
    cached: float = 0.20
    slow_start: float = 3.0


@dataclass(frozen=True, slots=True)
class RunnerChoice:
    """A runner and the reason for choosing it."""

    agent_id: AgentId
    reason: str


DEFAULT_WEIGHTS = ScoreWeights()
_MIN_SLOW_START_SHARE = 0.1


def estimate_load(candidate: RunnerCandidate) -> int:
    """Estimate the requests at a runner now.

    A report is up to a second old. Without the requests sent since, every node would send its whole
    burst to the runner that was idle in the last report, whose queue would grow while others idle.
    """
    return max(candidate.own, candidate.reported + candidate.sent_since)


def score(
    candidate: RunnerCandidate,
    place: PlaceName,
    region: RegionName,
    weights: ScoreWeights = DEFAULT_WEIGHTS,
) -> float:
    """Return the load of a candidate, in units of its capacity; lower is better."""
    slow_start_share = min(
        1.0, max(_MIN_SLOW_START_SHARE, candidate.ready_seconds / weights.slow_start)
    )
    result = (estimate_load(candidate) + 1) / (max(1, candidate.capacity) * slow_start_share)
    if candidate.region != region:
        result += weights.other_region
    elif candidate.place != place:
        result += weights.other_place
    if candidate.cached:
        result -= weights.cached
    return result


def choose_runner(
    candidates: Sequence[RunnerCandidate],
    place: PlaceName,
    region: RegionName,
    random: Random,
    weights: ScoreWeights = DEFAULT_WEIGHTS,
) -> RunnerChoice | None:
    """Choose the better of two random candidates.

    :returns: ``None`` if there are no candidates.
    """
    if not candidates:
        return None
    pair = random.sample(candidates, 2) if len(candidates) > 2 else list(candidates)
    scores = {each.agent_id: score(each, place, region, weights) for each in pair}
    best = min(pair, key=lambda each: scores[each.agent_id])
    compared = ", ".join(f"{agent}={value:.2f}" for agent, value in scores.items())
    return RunnerChoice(best.agent_id, f"lowest score of {compared}")


def choose_random(candidates: Sequence[RunnerCandidate], random: Random) -> RunnerChoice | None:
    """Choose any candidate: a baseline for measurements."""
    return RunnerChoice(random.choice(candidates).agent_id, "random") if candidates else None


def choose_least_reported(candidates: Sequence[RunnerCandidate]) -> RunnerChoice | None:
    """Choose the lowest reported load: a baseline for measurements."""
    if not candidates:
        return None
    best = min(candidates, key=lambda each: each.reported / max(1, each.capacity))
    return RunnerChoice(best.agent_id, "least reported load")
