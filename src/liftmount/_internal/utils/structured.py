"""Structured logs: one JSON object per line on standard output.

Lines go to a bounded queue that is flushed periodically without blocking.
When the reader is slow or the rate too high, lines are dropped, counted
and reported by a line of their own.
"""

from collections import deque
import json
import os

from liftmount._internal.clock import Clock

STDOUT = 1
# Lines queued until the next flush.
MAX_QUEUED_LINES = 2_000
# Lines accepted per second; further ones are dropped.
MAX_LINES_PER_SECOND = 400


class StructuredLog:
    """Queues lines; ``flush`` writes them without blocking."""

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
        """Queue a line of a component (``part``), an event and its fields."""
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
        """Write queued lines; keep those that the reader does not accept."""
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
                # The reader is gone, and there is no other log.
                self._unwritten = b''
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]
