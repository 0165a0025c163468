"""Timing of calls, memory of this process, and line fits."""

from pathlib import Path
from statistics import median

from attrs import frozen

from liftmount._internal.clock import Clock

ROUNDS = 7
KIB = 1024
_CLOCK = Clock()


@frozen
class Timing:
    """Microseconds per call: median, minimum and maximum over rounds."""

    median_us: float
    min_us: float
    max_us: float


def time_calls(call, count: int, rounds: int = ROUNDS) -> Timing:
    """Time ``count`` calls of ``call(index)`` in each round.

    The index continues across rounds.
    """
    times_us = []
    for number in range(rounds):
        start_ms = _CLOCK.precise_ms()
        for index in range(count):
            call(number * count + index)
        took_ms = _CLOCK.precise_ms() - start_ms
        times_us.append(took_ms * 1000 / count)
    return Timing(
        round(median(times_us), 2),
        round(min(times_us), 2),
        round(max(times_us), 2),
    )


def resident_bytes() -> int:
    """Return the resident memory of this process, or 0 if unknown."""
    for line in Path('/proc/self/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * KIB
    return 0


def fit_line(points) -> tuple[float, float]:
    """Return (slope, intercept) of a least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points)
        / squared_deviations
    )
    return slope, mean_y - slope * mean_x
