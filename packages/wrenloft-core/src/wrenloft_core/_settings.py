"""Settings files in TOML, validated with all faults reported at once."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import cattrs
from cattrs import transform_error

from wrenloft_core._errors import SettingsError

T = TypeVar("T")

_CONVERTER = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)


def structure_settings(fields: Mapping[str, Any], kind: type[T], *, source: str) -> T:
    """Structure plain values as a settings class.

    :param source: the file or section to name in the error.
    :raises SettingsError: with one line per fault.
    """
    try:
        return _CONVERTER.structure(fields, kind)
    except Exception as error:
        faults = "; ".join(_format_fault(line) for line in transform_error(error, path=source))
        raise SettingsError(faults, step="check-settings", peer=source) from error


def read_settings(path: Path, kind: type[T]) -> T:
    """Read and validate one settings file.

    :raises SettingsError: if it can't be read, isn't valid TOML, or has an invalid value.
    """
    try:
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(str(error), step="read-settings", peer=str(path)) from error
    return structure_settings(fields, kind, source=str(path))


def _format_fault(line: str) -> str:
    return line.replace("@ ", "at ")
