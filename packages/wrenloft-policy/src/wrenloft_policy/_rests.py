"""Return of callers who were refused because all endpoints asked for rest."""

from random import Random

MIN_RETURN_SPREAD_SECONDS = 0.3
MAX_RETURN_SPREAD_SECONDS = 5.0
RETURN_SPREAD_SHARE = 0.5
"""Time over which callers return after a rest, as a share of what was left of it, and its bounds.
If they returned together, the endpoint would reject most of them and ask for rest again."""

URGENT_SPREAD_SHARE = 0.25
"""Share of that time in which only callers of the most urgent rank return."""


def pick_rest_retry_after(wait: float, rank: int, random: Random) -> float:
    """Return the seconds after which a refused caller should retry, not before a rest has ended.

    :param wait: seconds until the first endpoint takes requests again.
    :param rank: of the request, 0 for the most urgent.
    """
    spread = max(MIN_RETURN_SPREAD_SECONDS, RETURN_SPREAD_SHARE * wait)
    spread = min(MAX_RETURN_SPREAD_SECONDS, spread)
    shares = (0.0, URGENT_SPREAD_SHARE) if rank == 0 else (URGENT_SPREAD_SHARE, 1.0)
    return max(0.0, wait) + random.uniform(*shares) * spread
