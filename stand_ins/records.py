"""Records that stand-ins write, one JSON object a line."""

import json
from pathlib import Path

from liftmount._internal.clock import Clock


class Recorder:
    """Appends records with the wall time; each line is written at once."""

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
    """Return all whole records of a file; a killed writer may cut one."""
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
