"""Records written by stand-ins, one JSON object per line."""

import json
from pathlib import Path

from liftmount._internal.clock import Clock


class Recorder:
    """Appends records with the wall time to a line-buffered file."""

    def __init__(self, path: Path):
        self._clock = Clock()
        self._stream = path.open('a', buffering=1)

    def write(self, event: str, **fields) -> None:
        """Write one record."""
        record = {'wall_ms': self._clock.wall_ms(), 'event': event, **fields}
        self._stream.write(json.dumps(record) + '\n')

    def close(self) -> None:
        """Close the file."""
        self._stream.close()


def read_records(path: Path) -> list[dict]:
    """Return all complete records of a file.

    A killed process may leave a truncated line; it is skipped.
    """
    records = []
    if not path.exists():
        return records
    with path.open() as stream:
        for line in stream:
            try:
                records.append(json.loads(line))
            except json.JSONDecodeError:
                continue
    return records
