"""This node's part of the budget for second tries that all nodes share."""

from math import exp

from wrenloft_core import ServiceName

SHARE_OF_SLACK = 0.6
"""Part of the shared allowance that is given out; the rest covers nodes not yet known of and
refusals at endpoints, which count as tries too but are noticed only when they have happened."""

RATIO_SHARE = 0.7
"""Part of the ratio that is used: requests are counted over a longer time than tries."""


KEPT_WINDOWS = 0.5
"""Windows for which what requests earned is kept. Second tries come in bursts, when an engine ends
or its streams go on elsewhere; with half a window kept, a burst and all that is earned in the same
window stay within the shared allowance (0.9 of it at 9 nodes with 10 requests a second each)."""


class _Account:
    """Second tries of one service.

    :param slack: of this node's part of the allowance that holds whatever the requests.
    :param earned: for requests, fading with the time that they are kept.
    """

    __slots__ = ("at", "earned", "slack")

    def __init__(self, slack: float, at: float) -> None:
        self.slack = slack
        self.earned = 0.0
        self.at = at


class SharedBudget:
    """Second tries allowed at this node, by service, without a call per request.

    Each node takes the part that it would have if all known entry nodes were live, refilled over
    the budget's window; a node that knows of few others takes the smallest part it can be owed.

    :param ratio: second tries allowed for each request.
    :param slack: second tries allowed in each window whatever the requests, all nodes together.
    :param window: seconds.
    :param nodes: entry nodes that share it.
    """

    def __init__(self, ratio: float, slack: float, window: float, nodes: int) -> None:
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SHARE_OF_SLACK
        self._window = window
        self.nodes = max(1, nodes)
        self._accounts: dict[ServiceName, _Account] = {}

    def _account(self, service: ServiceName, now: float) -> _Account:
        most = max(1.0, self._slack / self.nodes / 2)
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(most, now)
        passed = now - account.at
        account.slack = min(most, account.slack + passed * most / self._window)
        account.earned *= exp(-passed / (self._window * KEPT_WINDOWS))
        account.at = now
        return account

    def earn(self, service: ServiceName, now: float) -> None:
        """Count one request for a service."""
        self._account(service, now).earned += self._ratio

    def spend(self, service: ServiceName, now: float) -> bool:
        """Take one second try, if there is one left."""
        account = self._account(service, now)
        if account.slack + account.earned < 1.0:
            return False
        from_earned = min(1.0, account.earned)
        account.earned -= from_earned
        account.slack -= 1.0 - from_earned
        return True
