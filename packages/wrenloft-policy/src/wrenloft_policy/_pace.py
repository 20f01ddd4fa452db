"""Pace of endpoints: how many times longer than usual work takes on their hosts."""

from math import exp

from wrenloft_policy._engine import Prediction
from wrenloft_policy._header_load import HeaderLoad, MalformedLoad

PACE_CHANGE_SECONDS = 0.6
"""Time in which a host's pace usually changes, and a figure loses most of its meaning."""

PACE_LAG_SECONDS = 0.2
"""Age of a figure on arrival: it describes the host that long before the answer."""

CROWDED_SHARE = 0.8
"""Share of its slots in use above which an endpoint works more slowly."""

CROWDED_PACE = 2.0
"""Pace assumed of an endpoint whose slots are all in use, so that one with slots to spare in
another availability zone or region is better. Between both shares it rises evenly."""

_CROWDING_WEIGHT = 0.25
"""Part of the work in progress that counts as a delay while slots are free. It breaks ties between
endpoints; the requests run beside one another."""


def estimate_pace(stated: float, age: float) -> float:
    """Estimate an endpoint's present pace from its latest figure.

    A host that was faster than usual counts as usual, as with the pace that agents report.

    :param age: of the figure, in seconds.
    """
    return 1.0 + max(0.0, stated - 1.0) * exp(-max(0.0, age) / PACE_CHANGE_SECONDS)


def estimate_crowded_pace(present: int, slots: int) -> float:
    """Return the pace of an endpoint with one request more, as far as its own load determines it.

    :param present: requests there now; none slows down the first.
    """
    if not present:
        return 1.0
    crowded = ((present + 1) / max(1, slots) - CROWDED_SHARE) / (1.0 - CROWDED_SHARE)
    return 1.0 + (CROWDED_PACE - 1.0) * min(1.0, max(0.0, crowded))


def predict_paced(present: int, slots: int, work_seconds: float, pace: float) -> Prediction:
    """Predict the seconds until the answer of a plain endpoint that states its pace.

    :param present: requests there now.
    :param work_seconds: of usual work on a request.
    :param pace: estimate of its present pace.
    """
    work = work_seconds * pace * estimate_crowded_pace(present, slots)
    wait = max(0, present + 1 - slots) / max(1, slots)
    crowding = _CROWDING_WEIGHT * present / max(1, slots)
    return Prediction((wait + crowding) * work, work)


def compute_usual_seconds(seconds: float, load: HeaderLoad | MalformedLoad | None) -> float:
    """Return the seconds that work would have taken at the usual pace.

    :param seconds: that it took.
    :param load: from the answer, of which only a stated pace counts.
    """
    if isinstance(load, HeaderLoad) and load.states_pace:
        return seconds / max(1.0, load.pace)
    return seconds
