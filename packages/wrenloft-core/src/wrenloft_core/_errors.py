"""Every error that wrenloft raises."""


class WrenloftError(Exception):
    """Base of all errors, with where the failure arose.

    :param reason: what went wrong.
    :param step: the step that failed, such as ``"fetch-chunk"``.
    :param peer: id or address of the other side, empty if there was none.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        super().__init__(f"{step}{f' ({peer})' if peer else ''}: {reason}")
        self.reason = reason
        self.step = step
        self.peer = peer


class SettingsError(WrenloftError):
    """A settings file holds something that it may not; lists every fault found."""


class ConfigurationError(WrenloftError):
    """A configuration was refused; lists every fault found."""


class ConflictError(WrenloftError):
    """Somebody else's change was accepted first."""


class PlatformUnavailableError(WrenloftError):
    """A platform service did not answer, so whether a call took effect is not known."""


class IntegrityError(WrenloftError):
    """Bytes did not match the digest that names them."""
