"""Routing, admission, retry and placement decisions as plain functions."""

from wrenloft_policy._admission import Share, TokenBucket, admit, divide_limits
from wrenloft_policy._ejection import EjectionRule, Ejections
from wrenloft_policy._endpoints import (
    AIM_SHARE_MOST,
    HOLD_SHARE,
    Choice,
    EndpointLoad,
    Verdict,
    adjust_aim_share,
    choose_endpoint,
    count_seconds,
    decide_turn,
    pick_return,
    predict_answer,
)
from wrenloft_policy._engine import EngineProfile, Prediction, predict_first_event
from wrenloft_policy._entries import EntryNode, choose_entries
from wrenloft_policy._fetching import ChunkSource, Pick, choose_fetch, list_feeders, rank_turn
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
from wrenloft_policy._versions import WantedVersion, choose_version, must_insist

__all__ = [
    "AIM_SHARE_MOST",
    "HOLD_SHARE",
    "Candidate",
    "Choice",
    "Chosen",
    "ChunkSource",
    "EjectionRule",
    "Ejections",
    "EndpointLoad",
    "EngineProfile",
    "EntryNode",
    "FairQueue",
    "Host",
    "Lease",
    "Permit",
    "Pick",
    "Placed",
    "Prediction",
    "RetryBudget",
    "Share",
    "Source",
    "Ticket",
    "TokenBucket",
    "Verdict",
    "WantedVersion",
    "Weights",
    "adjust_aim_share",
    "admit",
    "choose_chunk",
    "choose_endpoint",
    "choose_entries",
    "choose_fetch",
    "choose_hosts",
    "choose_least_reported",
    "choose_owner",
    "choose_random",
    "choose_runner",
    "choose_version",
    "count_seconds",
    "decide_turn",
    "divide_limits",
    "estimate_load",
    "estimate_wait",
    "grant_permits",
    "list_feeders",
    "matches",
    "must_insist",
    "pick_backoff",
    "pick_neighbours",
    "pick_return",
    "predict_answer",
    "predict_first_event",
    "rank_owners",
    "rank_turn",
]
