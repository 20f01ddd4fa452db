"""Counters of what entry nodes and agents tell one another."""

from prometheus_client import Counter

MESSAGES = Counter(
    "wrenloft_entry_messages", "Messages between the system's processes", ["kind", "way"]
)
"""By kind (``frame``, ``load``, ``report``) and way (``sent``, ``received``)."""
