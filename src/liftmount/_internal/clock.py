"""Clocks in milliseconds, from which services read the time."""

import time

from attrs import define

NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1000.0
# Time of an event that never came: before any time of the clock.
NEVER_MS = -3_600_000


class Clock:
    """The clock of this host."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds, for intervals and deadlines."""
        return time.monotonic_ns() // NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds, for values other hosts read."""
        return time.time_ns() // NANOSECONDS_PER_MS

    def precise_ms(self) -> float:
        """Return monotonic milliseconds with fractions, for benchmarks."""
        return time.perf_counter_ns() / NANOSECONDS_PER_MS


@define
class ManualClock(Clock):
    """A clock that tests and benchmarks advance themselves."""

    time_ms: int = 0

    def now_ms(self) -> int:
        """Return the time set by hand."""
        return self.time_ms

    def wall_ms(self) -> int:
        """Return the time set by hand."""
        return self.time_ms

    def advance(self, step_ms: int) -> int:
        """Advance the clock by ``step_ms`` and return the new time."""
        self.time_ms += step_ms
        return self.time_ms


def seconds(interval_ms: float) -> float:
    """Convert milliseconds to seconds, as asyncio expects them."""
    return interval_ms / MS_PER_SECOND
