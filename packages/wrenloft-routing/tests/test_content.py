"""Tests of the identity of requests."""

from blake3 import blake3

from wrenloft_core import OrganisationName
from wrenloft_routing import identify_content

ORGANISATION = OrganisationName("o")


def _digest(body: bytes) -> bytes:
    return blake3(body).digest()


def test_repeat_has_the_same_id() -> None:
    """Only organisation, path and body count; the body may have arrived in any parts."""
    parts = blake3()
    parts.update(b"bo")
    parts.update(b"dy")
    first = identify_content(ORGANISATION, "/a/b?x=1", _digest(b"body"))
    assert first == identify_content(ORGANISATION, "/a/b?x=1", parts.digest())


def test_other_requests_have_other_ids() -> None:
    """Another caller, path, query or body is another request."""
    ids = {
        identify_content(organisation, target, _digest(body))
        for organisation in (ORGANISATION, OrganisationName("p"), None)
        for target in ("/a/b", "/a/c", "/a/b?x", "/a/b\udcff")
        for body in (b"", b"x")
    }
    assert len(ids) == 24
