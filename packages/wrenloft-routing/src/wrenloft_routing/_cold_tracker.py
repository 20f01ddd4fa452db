"""Which listed endpoints count as cold, by the rules of their services."""

from collections.abc import Mapping
from dataclasses import dataclass

from wrenloft_core import IncarnationId, ServiceName, read_clock
from wrenloft_policy import (
    ColdAllowance,
    Coldness,
    ColdShare,
    EndpointNotice,
    compute_cold_cap,
    compute_cold_rule,
)
from wrenloft_routing._cold_ledger import ColdLedger, ColdReport, ColdSource
from wrenloft_routing._settings import Bounds
from wrenloft_routing._table import BackendService


@dataclass(frozen=True, slots=True)
class ColdRule:
    """How the endpoints of a service are cold.

    :param seconds: time after a start for which they are.
    """

    allowance: ColdAllowance
    seconds: float

    @property
    def cap(self) -> float:
        """Longest coldness at a time, in seconds."""
        return compute_cold_cap(self.seconds)

    @property
    def rate(self) -> float:
        """Requests a second that their limiters usually grant."""
        return compute_cold_rule(self.allowance, ColdShare.WHOLE).rate


ColdRules = Mapping[ServiceName, ColdRule]


def build_cold_rules(services: Mapping[ServiceName, BackendService], bounds: Bounds) -> ColdRules:
    """Return the rules of the services whose cold endpoints take a limited rate."""
    return {
        name: ColdRule(
            ColdAllowance(each.cold_rate, bounds.cold_overrun, bounds.cold_allowance),
            each.cold_seconds,
        )
        for name, each in services.items()
        if each.cold_rate > 0.0
    }


class ColdTracker:
    """Records coldness of endpoints whose service has a rule, and of no others.

    ``rules`` is to be replaced with each configuration.
    """

    def __init__(self, ledger: ColdLedger) -> None:
        self.ledger = ledger
        self.rules: ColdRules = {}

    def find(self, incarnation: IncarnationId, service: ServiceName) -> Coldness | None:
        """Return the coldness of an endpoint, ``None`` if it isn't cold."""
        rule = self._find_active_rule(incarnation, service)
        if rule is None:
            return None
        return Coldness(rule.allowance, self.ledger.find_end(incarnation) - read_clock())

    def find_rate(self, incarnation: IncarnationId, service: ServiceName) -> float | None:
        """Return the requests a second that a cold endpoint gets, ``None`` if it isn't cold."""
        rule = self._find_active_rule(incarnation, service)
        return None if rule is None else rule.rate

    def _find_active_rule(
        self, incarnation: IncarnationId, service: ServiceName
    ) -> ColdRule | None:
        rule = self.rules.get(service) if len(self.ledger) else None
        cold = rule is not None and self.ledger.find_end(incarnation) > read_clock()
        return rule if cold else None

    def record_entry(
        self,
        incarnation: IncarnationId,
        service: ServiceName,
        stated: float,
        read_at: float,
        started_at: float,
    ) -> bool:
        """Record what an endpoint's entry says; return whether its coldness begins.

        :param stated: seconds of coldness left, as of the entry.
        :param read_at: when an entry with this content was first read.
        :param started_at: when the incarnation was first listed if it has started since this node
            knows the list; minus infinity otherwise.
        """
        rule = self.rules.get(service)
        if rule is None:
            return False
        if not stated:
            self.ledger.record_warm(incarnation, ColdSource.ENTRY)
        begun = [
            self.ledger.extend(incarnation, until, rule.cap, source)
            for until, source in (
                (started_at + rule.seconds, ColdSource.START),
                (read_at + stated, ColdSource.ENTRY),
            )
        ]
        return any(begun)

    def record_evacuation_end(self, incarnation: IncarnationId, service: ServiceName) -> bool:
        """Record that an endpoint's zone takes requests again; return whether coldness begins."""
        rule = self.rules.get(service)
        if rule is None:
            return False
        until = read_clock() + rule.seconds
        return self.ledger.extend(incarnation, until, rule.cap, ColdSource.EVACUATION)

    def record_answer(
        self, incarnation: IncarnationId, service: ServiceName, notice: EndpointNotice
    ) -> bool:
        """Record what an answer says of an endpoint; return whether its coldness begins."""
        rule = self.rules.get(service)
        if rule is None:
            return False
        if notice.unreadable_cold:
            self.ledger.record_unreadable(incarnation, notice.unreadable_cold)
        elif not notice.cold:
            self.ledger.record_warm(incarnation, ColdSource.ANSWER)
            self.ledger.record_warm(incarnation, ColdSource.PEER)
        if not notice.cold:
            return False
        until = read_clock() + notice.cold
        return self.ledger.extend(incarnation, until, rule.cap, ColdSource.ANSWER)

    def merge(self, incarnation: IncarnationId, service: ServiceName, report: ColdReport) -> bool:
        """Merge another node's report; return whether coldness begins."""
        rule = self.rules.get(service)
        return rule is not None and self.ledger.merge(incarnation, report, rule.cap)
