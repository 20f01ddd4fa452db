"""Callers: their requests, the choice of a runner, and what they are answered."""

from wrenloft.callers._application import CallerRoutes
from wrenloft.callers._authentication import Authenticator
from wrenloft.callers._keyed import KeyedRuns
from wrenloft.callers._router import ChooseRunner, Router, build_choice
from wrenloft.callers._runs import Sender

__all__ = [
    "Authenticator",
    "CallerRoutes",
    "ChooseRunner",
    "KeyedRuns",
    "Router",
    "Sender",
    "build_choice",
]
