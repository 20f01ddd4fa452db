"""Choice of the endpoint for a request, and whether the request is sent, queued or refused."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from wrenloft_policy._engine import EngineProfile, Prediction, predict_first_event
from wrenloft_policy._pace import predict_paced

MAX_OBJECTIVE_SHARE = 0.9
MIN_OBJECTIVE_SHARE = 0.5
"""Bounds of the share of the latency objective that a prediction may use. Below the minimum, an
endpoint that reads one mean prompt accepts nothing more: at 0.25, nodes still refuse a quarter of
all requests (49 of 191) two seconds after an outage."""

OBJECTIVE_SHARE_STEP = 0.15
"""Step by which the share adapts: from maximum to minimum within four seconds at five first events
a second and node, a third of them late. At a fifth of this step, the share adapts only halfway
through an overload of 20 s, and half of the responses are late."""

IN_TIME_TARGET = 0.85
"""Target share of sent requests that are in time. Closer to one, engines would idle to make sure of
the last few."""

OTHER_ZONE_PENALTY_SECONDS = 0.008
"""Extra predicted latency accepted to stay in the same availability zone; above the links' delay,
because traffic between zones is charged by the byte."""

OTHER_REGION_PENALTY_SECONDS = 0.025
"""The same for the region; about a twentieth of the shortest latency objective of a stream."""

SUSPECT_PENALTY_SECONDS = 10.0
"""Penalty of an endpoint that failed recently: it is used only if all others are worse."""

NEAR_SAMPLE_SIZE = 3
"""Nearest endpoints that are compared first. Entry nodes do not see what the others sent in the
last tenth of a second; comparing all endpoints would send every request to the same one."""

FAR_SAMPLE_SIZE = 2
"""Endpoints farther away that are compared as well. A single sample of three from all endpoints
missed the own zone for half of the requests with five endpoints, which then crossed regions."""

NEW_CONNECTION_PENALTY_SECONDS = 0.012
"""Extra predicted latency accepted to reuse an open connection: a new one costs a round trip and a
millisecond of the endpoint's time. A tenth of the prediction error."""

QUEUE_SHARE = 0.12
"""Share of the latency objective for which a request is queued at the entry node while no endpoint
can take it. Covers an endpoint list that is about to change, but not an outage, which callers
should learn of at once."""

OVERDUE_OBJECTIVE_SHARE = 0.6
"""Share of what fresh requests may use of the objective, below which an endpoint has capacity to
spare for overdue requests."""

OVERDUE_QUEUE_SHARE = 0.25
"""Share of its time left for which an overdue request may wait for spare capacity: a late response
is better than none, but one in time to another caller is worth four of them."""

MAX_COUNTED_PROMPTS = 1.5
"""Prefill time of a request that counts against its latency objective at most, in mean prompts."""

FRESH_TIMEOUT_SHARE = 0.83
"""Share of the longest caller timeout of a kind of request above which a caller counts as fresh.
Timeouts vary between 0.86 and 1.0 of the longest without any refusal. If the difference counted as
time spent on earlier attempts, half of all fresh requests would rank as overdue, wait up to 1.5 s
for spare capacity and be late because of it."""

RETRY_AFTER_SPREAD = (0.18, 0.33)
"""Range of the share of its time left after which a refused caller retries, drawn at random so that
a refused burst does not return as one. The response to a retry is late in any case; the minimum
makes its remaining timeout short enough to be distinguished from that of a fresh caller."""

MIN_RETRY_AFTER_SECONDS = 0.05
"""Earliest retry of a refused caller."""

OUTAGE_RETRY_SHARE = 0.8
"""Minimum share of the longest time that callers wait before a retry, for those refused while no
endpoint can take a request. The rest spreads their retries."""


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The load of one endpoint, as known to an entry node.

    :param key: identifies the endpoint.
    :param slots: requests that it processes concurrently.
    :param running: requests that it processes, as last reported or estimated from own requests.
    :param waiting: requests that wait there, as last reported.
    :param sent_since: requests sent from here since that report.
    :param recent: requests sent from here in about ``REPORT_LAG_SECONDS`` before it and since.
    :param unreported: estimated requests that other nodes have sent meanwhile.
    :param distance: 0 in the same availability zone, 1 in the same region, 2 beyond.
    :param pace: how many times slower it is than its profile.
    :param suspect: whether requests sent from here failed there recently.
    :param connected: whether an idle connection to it is open.
    :param limited: whether it takes a request only with a grant.
    :param paced: whether it states its pace.
    """

    key: str
    slots: int
    running: int
    waiting: int
    sent_since: int
    distance: int
    pace: float = 1.0
    suspect: bool = False
    recent: int = 0
    unreported: float = 0.0
    unread_tokens: float | None = None
    connected: bool = True
    limited: bool = False
    paced: bool = False


REPORT_LAG_SECONDS = 0.25
"""Age of an engine's report on arrival: it shows the state 0.2 s before it was read, and takes up
to 0.1 s to arrive."""

PREFILL_TIME_SHARE = 0.8
"""Share of its time that an engine with few streams spends on prefill. Without this deduction, 2 to
12 of 100 requests are refused under normal load that would all be in time."""


MAX_UNREACHABLE_SHARE = 0.1
"""Share of the nodes whose requests may be unknown: fewer send less than one request in ten, and
the fallback for them are endpoint reports, which are older than the updates of all other nodes."""


class Verdict(Enum):
    """What to do with a request now."""

    SEND = "send"
    QUEUE = "hold"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class EndpointChoice:
    """An endpoint and the latency predicted for it."""

    key: str
    prediction: Prediction


def predict_first_byte(
    load: EndpointLoad, engine: EngineProfile | None, prompt_tokens: float, work_seconds: float
) -> Prediction:
    """Predict the seconds until an endpoint's first byte.

    Requests sent since the report count as waiting, because the report includes none of them.
    """
    if engine is not None:
        waiting = load.waiting + load.sent_since + load.unreported
        return predict_first_event(
            engine, load.running, waiting, prompt_tokens, load.pace, load.unread_tokens
        )
    present = load.running + load.waiting + load.sent_since
    if load.paced:
        return predict_paced(present, load.slots, work_seconds, load.pace)
    rounds = present // max(1, load.slots)
    crowding = present * work_seconds / max(1, load.slots) / 4
    return Prediction(rounds * work_seconds * load.pace + crowding, work_seconds * load.pace)


def estimate_unreported(
    recent: int, nodes: int, endpoints: int, engine: EngineProfile | None
) -> float:
    """Estimate the requests waiting at each engine that no report includes yet.

    Prevents that all nodes overload the first engines that recover because they see them idle:
    after a loss of power, nine nodes sent 65 requests within a second to the first engine with
    16 slots, and nearly all of them timed out. Assumes that other nodes send as much as this one.
    Requests that an engine reads meanwhile do not wait.

    :param recent: requests sent from here recently, to all endpoints.
    :param nodes: entry nodes, this one included.
    :param endpoints: those that can take a request.
    """
    if engine is None:
        return 0.0
    read_meanwhile = PREFILL_TIME_SHARE * REPORT_LAG_SECONDS / engine.usual_read
    return max(0.0, recent * nodes / max(1, endpoints) - read_meanwhile)


def count_unreachable(nodes: int, reachable: int) -> int:
    """Return the number of nodes whose requests are unknown; 0 if they are a negligible share.

    :param nodes: live entry nodes, this one included.
    :param reachable: other nodes whose requests in progress are known.
    """
    unreachable = max(0, nodes - 1 - reachable)
    return 0 if unreachable <= nodes * MAX_UNREACHABLE_SHARE else unreachable


def choose_endpoint(
    loads: Sequence[EndpointLoad],
    engine: EngineProfile | None,
    prompt_tokens: float,
    work_seconds: float,
    random: Random,
    limit: float = inf,
    best_known: Sequence[EndpointLoad] = (),
) -> EndpointChoice | None:
    """Choose an endpoint: the best of a random sample, or of the best if none is good enough.

    Endpoints farther away carry a penalty. They are chosen when those of the own zone are busier
    by more than that, so that a zone with more callers than engines uses its neighbours'.

    :param limit: seconds to the first byte that are good enough.
    :param best_known: endpoints that were best for a mean request a moment ago; all are compared
        if none is given.
    :returns: ``None`` if there are no endpoints.
    """
    if not loads:
        return None
    sample = _draw_sample(loads, random)

    def rank(load: EndpointLoad) -> float:
        return compute_endpoint_cost(load, engine, prompt_tokens, work_seconds)

    best = min(sample, key=rank)
    if rank(best) > limit and len(sample) < len(loads):
        best = min([best, *(best_known or loads)], key=rank)
    return EndpointChoice(best.key, predict_first_byte(best, engine, prompt_tokens, work_seconds))


def compute_endpoint_cost(
    load: EndpointLoad, engine: EngineProfile | None, prompt_tokens: float, work_seconds: float
) -> float:
    """Return the cost by which endpoints are compared, in seconds; lower is better."""
    cost = (0.0, OTHER_ZONE_PENALTY_SECONDS, OTHER_REGION_PENALTY_SECONDS)[load.distance]
    cost += 0.0 if load.connected else NEW_CONNECTION_PENALTY_SECONDS
    cost += SUSPECT_PENALTY_SECONDS if load.suspect else 0.0
    return predict_first_byte(load, engine, prompt_tokens, work_seconds).total + cost


def _draw_sample(loads: Sequence[EndpointLoad], random: Random) -> list[EndpointLoad]:
    """Draw the endpoints that are compared first.

    Includes a near one with an open connection, if any. An unconstrained sample would rarely
    contain one at a node that sends to many endpoints, each seldom.
    """
    nearest = min(each.distance for each in loads)
    near = [each for each in loads if each.distance == nearest]
    far = [each for each in loads if each.distance > nearest]
    sample = random.sample(near, min(NEAR_SAMPLE_SIZE, len(near)))
    kept_open = [each for each in near if each.connected and each not in sample]
    if kept_open and not any(each.connected for each in sample):
        sample.append(random.choice(kept_open))
    return sample + random.sample(far, min(FAR_SAMPLE_SIZE, len(far)))


def count_spare_slots(load: EndpointLoad, engine: EngineProfile, limit: float) -> int:
    """Return how many more mean requests an engine can take with a first event in time.

    :param limit: seconds to the first event that are in time.
    """
    spare = limit - predict_first_byte(load, engine, engine.mean_prompt_tokens, 0.0).total
    if spare < 0 or load.limited:
        return 0
    present = load.running + load.waiting + load.sent_since
    each = engine.usual_read if present < load.slots else engine.stream_seconds() / engine.slots
    return 1 + int(spare / each)


def compute_send_probability(
    spare_slots: int, fresh: int, overdue: int, *, for_overdue: bool
) -> float:
    """Return the probability of sending each queued request, to send about ``spare_slots`` in all.

    Overdue requests get the slots that fresh ones leave. May exceed 1.

    :param fresh: requests queued at any node that can be in time.
    :param overdue: requests queued at any node that cannot.
    :param for_overdue: whether the probability is that of an overdue request.
    """
    if for_overdue:
        return max(0, spare_slots - fresh) / max(1, overdue)
    return spare_slots / max(1, fresh)


def decide_dispatch(
    predicted: float | None,
    elapsed: float,
    latency_objective: float,
    time_left: float,
    *,
    limited: bool,
    elapsed_before: float = 0.0,
    objective_share: float = MAX_OBJECTIVE_SHARE,
    idle_seconds: float = inf,
    longest_predicted: float = inf,
) -> Verdict:
    """Decide whether a request is sent, queued for a moment, or refused.

    Sheds load when more requests arrive than the endpoints can take. If all were sent, they would
    queue at the endpoints until every response is late; so only those that can be in time are
    admitted, and the others learn at once when to retry.

    :param predicted: seconds to the first byte at the best endpoint, ``None`` if there is none.
    :param elapsed: seconds since the caller's first attempt.
    :param latency_objective: seconds within which the response has its full value.
    :param time_left: seconds until the caller's timeout.
    :param limited: whether the service's capacity is scarce, so that overdue requests delay others.
    :param elapsed_before: part of ``elapsed`` before the request arrived here: the caller was
        refused before, and its response will be late.
    :param objective_share: share of the latency objective that the prediction may use.
    :param idle_seconds: seconds to the first byte at an idle endpoint, infinite if there is none. A
        request stays queued while that much of the objective is left, because the response to a
        refused caller is late in any case. If fresh requests were refused after an eighth of the
        objective, each slot that becomes free would go to overdue ones, which are queued longer.
    :param longest_predicted: seconds to the first byte above which the request leaves an endpoint's
        capacity to more urgent ones, and stays queued instead.
    """
    usable = min(latency_objective * objective_share, longest_predicted)
    if predicted is not None:
        if not limited and predicted <= time_left:
            return Verdict.SEND
        in_time = elapsed + predicted <= latency_objective * objective_share
        if in_time and predicted <= usable:
            return Verdict.SEND
    if elapsed_before > latency_objective * QUEUE_SHARE:
        if predicted is not None and predicted <= usable * OVERDUE_OBJECTIVE_SHARE:
            return Verdict.SEND
        return (
            Verdict.QUEUE
            if elapsed - elapsed_before < time_left * OVERDUE_QUEUE_SHARE
            else Verdict.REFUSE
        )
    can_be_in_time = elapsed + idle_seconds <= latency_objective * objective_share
    if (can_be_in_time or elapsed < latency_objective * QUEUE_SHARE) and time_left > 0:
        return Verdict.QUEUE
    return Verdict.REFUSE


def compute_objective_seconds(prediction: Prediction, engine: EngineProfile | None) -> float:
    """Return the predicted seconds that count against the latency objective.

    A large prompt's own work counts only up to that of a mean one, so that it may queue as long as
    others. Counted in full, the largest tenth of the requests finds no capacity under overload and
    is served a third as often as the others, although they are worth most.
    """
    if engine is None:
        return prediction.total
    usual = MAX_COUNTED_PROMPTS * engine.usual_read + engine.decode_seconds(engine.slots)
    return prediction.queued + min(prediction.own, usual)


def estimate_elapsed(timeout_left: float, longest: float) -> float:
    """Estimate the seconds since a caller's first attempt; 0 for a fresh caller.

    Callers state their remaining timeout, and nothing links two attempts of one caller.

    :param timeout_left: seconds until this caller's timeout.
    :param longest: longest recent timeout of callers of this kind of request, in seconds.
    """
    return 0.0 if timeout_left >= longest * FRESH_TIMEOUT_SHARE else longest - timeout_left


URGENCY_LEVELS = 10
"""Number of ranks by which an engine admits waiting requests to its batch."""


def rank_urgency(rank: int, *, overdue: bool, begun: bool) -> int:
    """Return a request's rank among those that wait at an engine; 0 goes first.

    A stream that resumes after another engine failed goes first, because its caller is waiting in
    the middle of a response. Then the most urgent kind; within a kind, requests that can still be
    in time. In order of arrival, callers who were refused before would delay those who can still
    be served in time.

    :param rank: of the kind of request, 0 for the most urgent.
    :param overdue: whether its response will be late in any case.
    :param begun: whether its caller has part of the response.
    """
    if begun:
        return 0
    return min(1 + 2 * rank + overdue, URGENCY_LEVELS - 1)


def adjust_objective_share(share: float, *, in_time: bool) -> float:
    """Return the share of the objective that predictions may use, after one more first event.

    Predictions do not include what other entry nodes sent in the last tenth of a second, nor how
    long the batch's streams still run. Under overload, half of the first events came 1.5 times
    later than predicted, a tenth of them 3 times. The share converges to the value at which
    ``IN_TIME_TARGET`` of the events are in time.
    """
    step = 1.0 - IN_TIME_TARGET if in_time else -IN_TIME_TARGET
    return min(MAX_OBJECTIVE_SHARE, max(MIN_OBJECTIVE_SHARE, share + OBJECTIVE_SHARE_STEP * step))


def pick_retry_after(time_left: float, candidates: int, random: Random) -> float:
    """Return the seconds after which a refused caller should retry.

    Callers wait at most a third of their time left, and retry a limited number of times. While no
    endpoint can take the request, an early retry would be refused again, so they are asked to use
    most of that third.

    :param candidates: endpoints that could take such a request, if they had capacity.
    """
    longest = time_left / 3
    if not candidates:
        return max(MIN_RETRY_AFTER_SECONDS, random.uniform(OUTAGE_RETRY_SHARE, 1.0) * longest)
    low, high = RETRY_AFTER_SPREAD
    return max(MIN_RETRY_AFTER_SECONDS, min(random.uniform(low, high) * time_left, longest))
