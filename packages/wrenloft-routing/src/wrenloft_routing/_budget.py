"""This node's part of the retry budget that all nodes share."""

from wrenloft_core import ServiceName

SLACK_SHARE = 0.6
"""Share of the slack that is distributed. The rest covers unknown nodes and rejections by
endpoints, which count as retries but are noticed only afterwards."""

RATIO_SHARE = 0.7
"""Share of the ratio that is used, since requests are counted over a longer window than retries."""


class _Account:
    __slots__ = ("at", "tokens")

    def __init__(self, tokens: float, at: float) -> None:
        self.tokens = tokens
        self.at = at


class SharedRetryBudget:
    """Retries allowed at this node, by service, without a call per request.

    Each node takes the part that it would have if all known entry nodes were live, refilled over
    the budget's window. A node that knows of few others takes the smallest part that it can be
    entitled to.

    :param ratio: retries allowed per request.
    :param slack: retries allowed in each window in addition, at all nodes together.
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
        """Deposit the share of one request for a service."""
        self._account(service, now).tokens += self._ratio

    def has_retry(self, service: ServiceName, now: float) -> bool:
        """Return whether a retry is left."""
        return self._account(service, now).tokens >= 1.0

    def withdraw(self, service: ServiceName, now: float) -> bool:
        """Withdraw one retry; return whether there was one left."""
        account = self._account(service, now)
        if account.tokens < 1.0:
            return False
        account.tokens -= 1.0
        return True

    def refund(self, service: ServiceName) -> None:
        """Return a retry that was withdrawn and not sent."""
        account = self._accounts.get(service)
        if account is not None:
            account.tokens += 1.0
