"""Counters of messages between entry nodes and agents."""

from prometheus_client import Counter

MESSAGES = Counter(
    "wrenloft_entry_messages", "Messages between the system's processes", ["kind", "way"]
)
"""By kind (``frame``, ``load``, ``report``) and way (``sent``, ``received``)."""
