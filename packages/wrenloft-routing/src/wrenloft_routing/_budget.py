"""This node's part of the budget for second tries that all nodes share."""

from wrenloft_core import ServiceName

SLACK_SHARE = 0.6
"""Part of the shared allowance that is given out; the rest covers nodes not yet known of and
refusals at endpoints, which count as tries too but are noticed only when they have happened."""

RATIO_SHARE = 0.7
"""Part of the ratio that is used: requests are counted over a longer time than tries."""


class _Account:
    __slots__ = ("at", "tokens")

    def __init__(self, tokens: float, at: float) -> None:
        self.tokens = tokens
        self.at = at


class SharedRetryBudget:
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
        self._slack = slack * SLACK_SHARE
        self._window = window
        self.nodes = max(1, nodes)
        self._accounts: dict[ServiceName, _Account] = {}

    def _account(self, service: ServiceName, now: float) -> _Account:
        capacity = max(1.0, self._slack / self.nodes / 2)
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(capacity, now)
        refill = (now - account.at) * self._slack / self.nodes / 2 / self._window
        account.tokens = min(capacity, account.tokens + refill)
        account.at = now
        return account

    def deposit(self, service: ServiceName, now: float) -> None:
        """Count one request for a service."""
        self._account(service, now).tokens += self._ratio

    def withdraw(self, service: ServiceName, now: float) -> bool:
        """Take one second try, if there is one left."""
        account = self._account(service, now)
        if account.tokens < 1.0:
            return False
        account.tokens -= 1.0
        return True
