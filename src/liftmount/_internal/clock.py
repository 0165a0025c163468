"""The millisecond clock; nothing else in the project reads time."""

import time

from attrs import define

NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1000.0


class Clock:
    """Reads the time of this host in whole milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds, for intervals and deadlines."""
        return time.monotonic_ns() // NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for other readers."""
        return time.time_ns() // NANOSECONDS_PER_MS

    def precise_ms(self) -> float:
        """Return monotonic milliseconds with fractions, for benches."""
        return time.perf_counter_ns() / NANOSECONDS_PER_MS


@define
class ManualClock(Clock):
    """A clock that a bench or a test moves by hand."""

    time_ms: int = 0

    def now_ms(self) -> int:
        """Return the time set by hand."""
        return self.time_ms

    def wall_ms(self) -> int:
        """Return the time set by hand."""
        return self.time_ms

    def advance(self, step_ms: int) -> int:
        """Move the clock forward by ``step_ms`` and return the time."""
        self.time_ms += step_ms
        return self.time_ms


def seconds(interval_ms: float) -> float:
    """Convert milliseconds to the seconds that asyncio expects."""
    return interval_ms / MS_PER_SECOND
