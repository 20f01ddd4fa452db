"""Tests of reading, checking and splitting configurations."""

import pytest

from wrenloft_core import (
    ConfigurationError,
    Revision,
    digest_bytes,
    hash_key,
    join_sections,
    parse_configuration,
    split_sections,
)

_TEXT = f"""
[fleet]
goal = "origin"

[organisations.liptov]
labels = {{user = "cellar"}}
keys = [{{digest = "{hash_key("a")}", classes = ["alarm", "batch"]}}]

[models.majster-llm]
version = "{"0" * 64}"
origin_path = "majster.bin"
replicas = 7
hosts = {{service = ["majster-llm"]}}

[services.sklad-app]
hosts = {{service = ["sklad-app"]}}
"""


class TestParseConfiguration:
    """Tests for ``parse_configuration``."""

    def test_reports_every_fault_at_once(self) -> None:
        """An operator gets all faults of a file at once, each with its location."""
        text = _TEXT.replace("replicas = 7", "replicas = -1").replace("0" * 64, "short")
        with pytest.raises(ConfigurationError) as raised:
            parse_configuration(text, source="x.toml")
        assert "models.majster-llm.replicas" in raised.value.reason
        assert "models.majster-llm.version" in raised.value.reason

    def test_refuses_an_unknown_field(self) -> None:
        """A misspelt field is rejected instead of being ignored."""
        with pytest.raises(ConfigurationError, match="replicass"):
            parse_configuration(_TEXT.replace("replicas", "replicass"), source="x.toml")

    def test_refuses_a_key_of_two_organisations(self) -> None:
        """A key shared by two organisations would give one the other's rights."""
        shared = f'[organisations.orava]\nkeys = [{{digest = "{hash_key("a")}", classes = []}}]\n'
        with pytest.raises(ConfigurationError, match="shares a key"):
            parse_configuration(_TEXT + shared, source="x.toml")


class TestSplitSections:
    """Tests for ``split_sections`` and ``join_sections``."""

    def test_joins_to_the_same_configuration(self) -> None:
        """A configuration split into sections is reassembled unchanged."""
        configuration = parse_configuration(_TEXT, source="x.toml")
        sections = split_sections(configuration)
        digests = {name: str(digest_bytes(body)) for name, body in sections.items()}
        bodies = {str(digest_bytes(body)): body for body in sections.values()}
        joined = join_sections(digests, bodies, Revision(0))
        assert joined == configuration

    def test_refuses_a_section_that_does_not_match_its_digest(self) -> None:
        """A section whose bytes don't match its digest never takes effect."""
        sections = split_sections(parse_configuration(_TEXT, source="x.toml"))
        digests = {name: str(digest_bytes(body)) for name, body in sections.items()}
        bodies = dict.fromkeys(digests.values(), b"{}")
        with pytest.raises(ConfigurationError, match="not whole"):
            join_sections(digests, bodies, Revision(1))
