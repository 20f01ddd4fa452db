"""Which endpoint gets a request now, and whether it is sent, held or refused."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from wrenloft_policy._engine import EngineProfile, Prediction, predict_first_event

AIM_SHARE_MOST = 0.9
AIM_SHARE_LEAST = 0.5
"""Bounds of the part of the aim that a prediction may use up. Below the least, an endpoint that
reads one usual prompt takes nothing more: with 0.25, nodes still refused a quarter of all requests
two seconds after an outage (49 of 191 in one play)."""

AIM_SHARE_STEP = 0.15
"""How fast that part moves: at five first events a second and node, of which a third are late,
from most to least within four seconds. With a fifth of it an overload of 20 s was half over
before the part had moved, and half of what was served came late."""

IN_TIME_SHARE = 0.85
"""Part of the requests sent that should be in time. Nearer to one, engines would rest to make
sure of the last few."""

OTHER_PLACE_SECONDS = 0.008
"""Worse prediction put up with to stay in the same availability zone; above the links' delay,
because each byte that crosses is paid for."""

OTHER_REGION_SECONDS = 0.025
"""The same for the region; about a twentieth of the shortest aim of a stream."""

SUSPECT_SECONDS = 10.0
"""Put on an endpoint that failed here lately: it is used only if all others are worse."""

SAMPLE = 3
"""Endpoints compared at first, of the nearest. Entry nodes do not see one another's sends of the
last tenth of a second; comparing all would send all of them to the same endpoint, a random few
spreads them."""

FAR_SAMPLE = 2
"""Endpoints farther away that are compared besides. Drawn from all alike, a sample of three missed
the own zone for half of the requests where there are five, and they crossed regions."""

NEW_CONNECTION_SECONDS = 0.012
"""Worse prediction put up with where a connection is kept open: a new one takes a round trip and a
millisecond of the endpoint's time, and is paid for. A tenth of what predictions are off by."""

HOLD_SHARE = 0.12
"""Part of the aim that a request waits at the entry node while no endpoint at all can take it: a
list that is about to change, and not an outage, which callers should hear of at once."""

LATE_SHARE = 0.6
"""Part of what fresh requests may use up below which an endpoint has room to spare, for requests
that are late already."""

LATE_HOLD_SHARE = 0.25
"""Part of its time left that a late request may wait for such room: an answer late is better than
none, but an answer in time to another caller is worth four of them."""

OWN_WORK_USUAL = 1.5
"""Usual prompts' reading up to which a request's own work counts against its aim."""

FRESH_SHARE = 0.83
"""Part of the longest patience of a kind of request from which a caller counts as a fresh one.
Callers' patience varies by itself: on a calm day without one refusal it was between 0.86 and 1.0
of the longest. Whatever was missing counted as time spent on earlier attempts, so that half of all
fresh requests ranked as late, waited up to 1.5 s for room to spare, and came late for that."""

RETURN_SPREAD = (0.18, 0.33)
"""Part of its patience after which a refused caller comes back, drawn at random so that a burst
that was refused does not return as one. An answer to it is late in any case, and by what is left of
its patience after the least of these it is told from fresh callers."""

LEAST_RETURN_SECONDS = 0.05
"""Soonest return of a refused caller."""

OUTAGE_RETURN_SHARE = 0.8
"""Least part of the time that callers wait at most, for those refused while no endpoint can take
a request. The rest spreads their return."""


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """What an entry node knows of one endpoint.

    :param key: what tells it from the others.
    :param slots: requests that it works on at once.
    :param running: requests it works on, as last reported, or an estimate from own requests.
    :param waiting: requests that wait there, as last reported.
    :param sent_since: requests sent from here since that report.
    :param recent: requests sent from here in about ``REPORT_LAG_SECONDS`` before it and since.
    :param unseen: requests that other nodes have probably sent meanwhile.
    :param distance: 0 in the same availability zone, 1 in the same region, 2 beyond.
    :param pace: how many times slower it is than its profile.
    :param suspect: whether requests sent from here failed there lately.
    :param connected: whether an idle connection to it is kept open.
    :param limited: whether it takes a request only with a grant.
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
    unseen: float = 0.0
    unread_tokens: float | None = None
    connected: bool = True
    limited: bool = False


REPORT_LAG_SECONDS = 0.25
"""How old an engine's report is when it arrives: it shows the time 0.2 s before it was read, and
takes up to 0.1 s from there."""

UNSEEN_READ_SHARE = 0.8
"""Part of its time that an engine which has few streams yet reads prompts. With nothing taken off,
a calm quarter of a minute had 2 to 12 requests in 100 refused that had all been in time."""


UNHEARD_SHARE = 0.1
"""Part of the nodes whose sends may be unknown: fewer send less than one request in ten, and to
count them in one goes by reports, which are older than what all the others say."""


class Verdict(Enum):
    """What to do with a request now."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint and what is predicted of it."""

    key: str
    prediction: Prediction


def predict_answer(
    load: EndpointLoad, engine: EngineProfile | None, prompt_tokens: float, work_seconds: float
) -> Prediction:
    """Predict the seconds until an endpoint's first byte.

    Requests sent since the report count as waiting: none of them was in it.
    """
    if engine is not None:
        waiting = load.waiting + load.sent_since + load.unseen
        return predict_first_event(
            engine, load.running, waiting, prompt_tokens, load.pace, load.unread_tokens
        )
    present = load.running + load.waiting + load.sent_since
    rounds = present // max(1, load.slots)
    crowding = present * work_seconds / max(1, load.slots) / 4
    return Prediction(rounds * work_seconds * load.pace + crowding, work_seconds * load.pace)


def estimate_unseen(recent: int, nodes: int, endpoints: int, engine: EngineProfile | None) -> float:
    """Estimate the requests waiting at each engine that no report shows yet.

    Answers the moment at which few engines are back and every node finds the same one idle: after
    a loss of power nine nodes sent 65 requests within a second to the first engine with 16 slots,
    and nearly all of them were given up. Others are taken to send as much as this node; what an
    engine reads meanwhile does not wait.

    :param recent: requests sent from here lately, to all endpoints.
    :param nodes: entry nodes, this one included.
    :param endpoints: those that can take a request.
    """
    if engine is None:
        return 0.0
    read_meanwhile = UNSEEN_READ_SHARE * REPORT_LAG_SECONDS / engine.usual_read
    return max(0.0, recent * nodes / max(1, endpoints) - read_meanwhile)


def count_unheard(nodes: int, heard: int) -> int:
    """Count the nodes whose sends are not known, as far as they matter.

    :param nodes: entry nodes that are live, this one included.
    :param heard: others whose requests in progress are known.
    """
    unheard = max(0, nodes - 1 - heard)
    return 0 if unheard <= nodes * UNHEARD_SHARE else unheard


def choose_endpoint(
    loads: Sequence[EndpointLoad],
    engine: EngineProfile | None,
    prompt_tokens: float,
    work_seconds: float,
    random: Random,
    limit: float = inf,
    best_known: Sequence[EndpointLoad] = (),
) -> Choice | None:
    """Choose an endpoint: the best of a random few, or of the best if none of these is good enough.

    Near ones are preferred by what far ones cost; these are chosen when the zone's own are fuller
    than that, so that a zone with more callers than engines uses its neighbours'.

    :param limit: seconds to the first byte that are good enough.
    :param best_known: those that were best for a usual request a moment ago; all count if none is
        given.
    :returns: ``None`` if there are none.
    """
    if not loads:
        return None
    sample = _draw_sample(loads, random)

    def rank(load: EndpointLoad) -> float:
        return rank_endpoint(load, engine, prompt_tokens, work_seconds)

    best = min(sample, key=rank)
    if rank(best) > limit and len(sample) < len(loads):
        best = min([best, *(best_known or loads)], key=rank)
    return Choice(best.key, predict_answer(best, engine, prompt_tokens, work_seconds))


def rank_endpoint(
    load: EndpointLoad, engine: EngineProfile | None, prompt_tokens: float, work_seconds: float
) -> float:
    """Return the seconds by which endpoints are compared; fewer are better."""
    cost = (0.0, OTHER_PLACE_SECONDS, OTHER_REGION_SECONDS)[load.distance]
    cost += 0.0 if load.connected else NEW_CONNECTION_SECONDS
    cost += SUSPECT_SECONDS if load.suspect else 0.0
    return predict_answer(load, engine, prompt_tokens, work_seconds).total + cost


def _draw_sample(loads: Sequence[EndpointLoad], random: Random) -> list[EndpointLoad]:
    """Draw the endpoints that are compared at first.

    One of the near ones has a kept connection, if any has: drawn blindly, hardly any would at a
    node that sends to many endpoints, each seldom.
    """
    nearest = min(each.distance for each in loads)
    near = [each for each in loads if each.distance == nearest]
    far = [each for each in loads if each.distance > nearest]
    sample = random.sample(near, min(SAMPLE, len(near)))
    kept = [each for each in near if each.connected and each not in sample]
    if kept and not any(each.connected for each in sample):
        sample.append(random.choice(kept))
    return sample + random.sample(far, min(FAR_SAMPLE, len(far)))


def count_room(load: EndpointLoad, engine: EngineProfile, limit: float) -> int:
    """Count the usual requests that an engine could still take with a first event in time.

    :param limit: seconds to the first event that are in time.
    """
    spare = limit - predict_answer(load, engine, engine.usual_prompt, 0.0).total
    if spare < 0 or load.limited:
        return 0
    present = load.running + load.waiting + load.sent_since
    each = engine.usual_read if present < load.slots else engine.stream_seconds() / engine.slots
    return 1 + int(spare / each)


def share_room(room: int, fresh: int, late: int, *, late_ask: bool) -> float:
    """Return the chance with which each waiting request goes, so that about ``room`` of them do.

    What comes late in any case goes in what those that can be in time leave over.

    :param fresh: requests that wait anywhere and can be in time.
    :param late: requests that wait anywhere and cannot.
    :param late_ask: whether the chance is that of a late one.
    """
    if late_ask:
        return max(0, room - fresh) / max(1, late)
    return room / max(1, fresh)


def decide_turn(
    predicted: float | None,
    elapsed: float,
    aim: float,
    left: float,
    *,
    limited: bool,
    spent: float = 0.0,
    aim_share: float = AIM_SHARE_MOST,
    least: float = inf,
) -> Verdict:
    """Decide whether a request is sent, held for a moment, or refused.

    Answers the load at which more comes than the endpoints can take. Sent all the same, requests
    queue at the endpoints until every answer is late; refused beyond what can be in time, those
    that are let in have their full worth, and the others know at once when to come back.

    :param predicted: seconds to the first byte at the best endpoint, ``None`` if there is none.
    :param elapsed: seconds since the caller's first attempt.
    :param aim: seconds within which the answer has its full worth.
    :param left: seconds until nobody waits for the answer.
    :param limited: whether the service's capacity is scarce, so that late work costs others.
    :param spent: part of ``elapsed`` that had passed when the request came here: the caller was
        refused before, and its answer will be late.
    :param aim_share: part of the aim that the prediction may use up.
    :param least: seconds to the first byte at an idle endpoint, infinite if there is none. While
        that much is left of the aim a request is held: a refused caller's answer is late in any
        case, and refused after an eighth of the aim, fresh callers left each place that became
        free to those who had been refused before and were held for longer.
    """
    if predicted is not None:
        if not limited and predicted <= left:
            return Verdict.SEND
        if elapsed + predicted <= aim * aim_share:
            return Verdict.SEND
    if spent > aim * HOLD_SHARE:
        if predicted is not None and predicted <= aim * aim_share * LATE_SHARE:
            return Verdict.SEND
        return Verdict.HOLD if elapsed - spent < left * LATE_HOLD_SHARE else Verdict.REFUSE
    can_be_in_time = elapsed + least <= aim * aim_share
    if (can_be_in_time or elapsed < aim * HOLD_SHARE) and left > 0:
        return Verdict.HOLD
    return Verdict.REFUSE


def count_seconds(prediction: Prediction, engine: EngineProfile | None) -> float:
    """Return the seconds that count against the aim.

    A large prompt's own work counts only up to a usual one's: it may wait in the queue as long as
    others. Counted in full, the largest tenth of the requests found no room under overload and
    were served a third as often as the others, although they are worth most.
    """
    if engine is None:
        return prediction.total
    usual = OWN_WORK_USUAL * engine.usual_read + engine.writing_seconds(engine.slots)
    return prediction.queued + min(prediction.own, usual)


def estimate_spent(patience: float, longest: float) -> float:
    """Estimate the seconds since a caller's first attempt; 0 for a fresh caller.

    Callers say how long they will still wait, and nothing links two attempts of one caller.

    :param patience: seconds that this caller still waits.
    :param longest: seconds that callers of its kind of request waited at most, lately.
    """
    return 0.0 if patience >= longest * FRESH_SHARE else longest - patience


URGENCIES = 10
"""Ranks by which an engine takes waiting requests into its batch."""


def rank_urgency(rank: int, *, late: bool, begun: bool) -> int:
    """Return a request's rank among those that wait at an engine; 0 goes first.

    A stream that goes on after another engine failed has its pause running and goes first. Then
    the most urgent kind; of one kind those that can still be in time. In the order of arrival,
    callers who were refused before delay those who could still be served in time.

    :param rank: of the kind of request, 0 for the most urgent.
    :param late: whether its answer will be late in any case.
    :param begun: whether its caller has part of the answer.
    """
    if begun:
        return 0
    return min(1 + 2 * rank + late, URGENCIES - 1)


def adjust_aim_share(share: float, *, in_time: bool) -> float:
    """Return the part of the aim that predictions may use up, after one more first event.

    Predictions miss what other entry nodes sent in the last tenth of a second and how long the
    batch's streams still run. Under overload half of the first events came 1.5 times later than
    predicted, a tenth of them 3 times. The part settles where ``IN_TIME_SHARE`` are in time.
    """
    step = 1.0 - IN_TIME_SHARE if in_time else -IN_TIME_SHARE
    return min(AIM_SHARE_MOST, max(AIM_SHARE_LEAST, share + AIM_SHARE_STEP * step))


def pick_return(left: float, candidates: int, random: Random) -> float:
    """Return the seconds after which a refused caller should come back.

    Callers wait at most a third of the time that they have left, and ask a limited number of
    times. With no endpoint able to take the request, an early return would only be refused
    again, so they are asked to use all of that third.

    :param candidates: endpoints that could take such a request, if they had room.
    """
    longest = left / 3
    if not candidates:
        return max(LEAST_RETURN_SECONDS, random.uniform(OUTAGE_RETURN_SHARE, 1.0) * longest)
    low, high = RETURN_SPREAD
    return max(LEAST_RETURN_SECONDS, min(random.uniform(low, high) * left, longest))
