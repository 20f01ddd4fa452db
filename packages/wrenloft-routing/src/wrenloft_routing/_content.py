"""Identity of a request's content, independent of attempt, connection and node."""

from blake3 import blake3

from wrenloft_core import ContentId, OrganisationName

_ID_BYTES = 12
"""Bytes of an id: two of 100,000 contents collide with a probability of 1 in 10**19."""


def identify_content(
    organisation: OrganisationName | None, target: str, body_digest: bytes
) -> ContentId:
    """Return an id that is the same for each repeat of a request and differs for other requests.

    An endpoint's work depends on the caller's organisation, the path with its query, and the body.
    Headers, request id and remaining time differ between repeats.

    :param organisation: whose key the caller has, ``None`` if the rule needs none.
    :param body_digest: of the whole body, computed as it arrived, so that a body of some megabytes
        is neither copied nor hashed at once.
    """
    digest = blake3(f"{organisation or ''}\n{target}\n".encode(errors="surrogateescape"))
    digest.update(body_digest)
    return ContentId(digest.hexdigest(_ID_BYTES))
