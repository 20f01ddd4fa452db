"""Routing, admission, retry and placement decisions as plain functions."""

from wrenloft_policy._admission import Share, TokenBucket, admit, divide_limits
from wrenloft_policy._ejection import EjectionRule, Ejections
from wrenloft_policy._entries import EntryNode, choose_entries
from wrenloft_policy._ownership import Lease, choose_owner, rank_owners
from wrenloft_policy._placement import Host, Placed, choose_hosts, matches
from wrenloft_policy._queue import FairQueue, Ticket, estimate_wait
from wrenloft_policy._retry import RetryBudget, pick_backoff
from wrenloft_policy._runners import (
    Candidate,
    Chosen,
    Weights,
    choose_least_reported,
    choose_random,
    choose_runner,
    estimate_load,
)
from wrenloft_policy._swarm import Permit, Source, choose_chunk, grant_permits, pick_neighbours

__all__ = [
    "Candidate",
    "Chosen",
    "EjectionRule",
    "Ejections",
    "EntryNode",
    "FairQueue",
    "Host",
    "Lease",
    "Permit",
    "Placed",
    "RetryBudget",
    "Share",
    "Source",
    "Ticket",
    "TokenBucket",
    "Weights",
    "admit",
    "choose_chunk",
    "choose_entries",
    "choose_hosts",
    "choose_least_reported",
    "choose_owner",
    "choose_random",
    "choose_runner",
    "divide_limits",
    "estimate_load",
    "estimate_wait",
    "grant_permits",
    "matches",
    "pick_backoff",
    "pick_neighbours",
    "rank_owners",
]
