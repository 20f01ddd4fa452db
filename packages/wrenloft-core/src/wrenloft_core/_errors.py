"""Errors raised by wrenloft."""


class WrenloftError(Exception):
    """Base of all errors, with the step that failed and the peer.

    :param reason: what went wrong.
    :param step: the step that failed, such as ``"fetch-chunk"``.
    :param peer: id or address of the other process, empty if there was none.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        super().__init__(f"{step}{f' ({peer})' if peer else ''}: {reason}")
        self.reason = reason
        self.step = step
        self.peer = peer


class SettingsError(WrenloftError):
    """A settings file is invalid; lists every fault found."""


class ConfigurationError(WrenloftError):
    """A configuration is invalid; lists every fault found."""


class ConflictError(WrenloftError):
    """A concurrent change was accepted first."""


class PlatformUnavailableError(WrenloftError):
    """A platform service didn't answer, so it isn't known whether the call took effect."""


class IntegrityError(WrenloftError):
    """Bytes don't match their digest."""
