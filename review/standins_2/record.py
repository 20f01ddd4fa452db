"""The record of what was sent, answered and run."""

import time
from pathlib import Path
from typing import Any


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._begun_at

    def write(self, event: str, **fields: Any) -> float:
        """Write an event and return its time."""
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()
        return at

    def close(self) -> None:
        """Close the file."""
        self._file.close()
