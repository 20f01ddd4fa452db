"""Who a caller is, by the key it sends."""

from dataclasses import dataclass

from wrenloft.platform import ConfigurationStore
from wrenloft_core import (
    KeyGrant,
    Organisation,
    OrganisationName,
    hash_key,
    matches_digest,
)

_BEARER = "Bearer "


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller whose key is known."""

    name: OrganisationName
    organisation: Organisation
    grant: KeyGrant


class Authenticator:
    """Finds the organisation of a key in the configuration in force."""

    def __init__(self, configurations: ConfigurationStore) -> None:
        self._configurations = configurations
        self._indexed = -1
        self._callers: dict[str, Caller] = {}

    def authenticate(self, authorization: str) -> Caller | None:
        """Return the caller, or ``None`` if the key is unknown."""
        if self._indexed != self._configurations.revision:
            self._index()
        if not authorization.startswith(_BEARER):
            return None
        key = authorization.removeprefix(_BEARER)
        caller = self._callers.get(hash_key(key))
        if caller is None or not matches_digest(key, caller.grant.digest):
            return None
        return caller

    def _index(self) -> None:
        current = self._configurations.current
        self._callers = {
            grant.digest: Caller(name, organisation, grant)
            for name, organisation in current.organisations.items()
            for grant in organisation.keys
        }
        self._indexed = current.revision
