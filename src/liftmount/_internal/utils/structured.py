"""Structured logs: one JSON object a line on standard output.

Lines go to a bounded queue, which is written out a few times a second.  A
reader that is slow, or too many lines, loses lines and never holds up a
packet; what was lost is counted and said.
"""

from collections import deque
import json
import os

from liftmount._internal.clock import Clock

STDOUT = 1
# Lines kept until the next write; at 200 bytes each, 400 KB.
MAX_QUEUED_LINES = 2_000
# Lines in a second before those that touch single flows are left out.
MAX_LINES_PER_SECOND = 400


class StructuredLog:
    """Collects lines; ``flush`` writes them without blocking."""

    def __init__(self, clock: Clock, descriptor: int = STDOUT):
        self._clock = clock
        self._descriptor = descriptor
        self._lines = deque()
        self._unwritten = b''
        self._current_s = 0
        self._lines_in_second = 0
        self.lost_unreported = 0
        self.total_lost = 0
        os.set_blocking(descriptor, False)

    def write(self, part: str, event: str, **fields) -> None:
        """Add a line: the part that speaks, what happened, its inputs."""
        now_ms = self._clock.wall_ms()
        if now_ms // 1000 != self._current_s:
            self._current_s = now_ms // 1000
            self._lines_in_second = 0
        self._lines_in_second += 1
        is_rate_exceeded = self._lines_in_second > MAX_LINES_PER_SECOND
        if is_rate_exceeded or len(self._lines) >= MAX_QUEUED_LINES:
            self.lost_unreported += 1
            self.total_lost += 1
            return
        line = {'at_ms': now_ms, 'part': part, 'event': event, **fields}
        self._lines.append(line)

    def flush(self) -> None:
        """Write what is queued; keeps what the reader does not take."""
        if self.lost_unreported and len(self._lines) < MAX_QUEUED_LINES:
            lost, self.lost_unreported = self.lost_unreported, 0
            line = {'part': 'logs', 'event': 'lines_lost', 'lines': lost}
            self._lines.append({'at_ms': self._clock.wall_ms(), **line})
        while self._lines or self._unwritten:
            if not self._unwritten:
                line = json.dumps(self._lines.popleft(), default=str)
                self._unwritten = line.encode() + b'\n'
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads: there is no place left to say so.
                self._unwritten = b''
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]
