"""Where the report of a crash came from."""

from enum import Enum


class CrashSource(Enum):
    """The origin of the report of a crash."""

    OWN = "own"
    PEER = "peer"
    STORE = "store"
