"""Learns what one target can carry from its own answers.

Nothing is read off an age, a label or a load endpoint.  Two things are
learnt: how many requests a target runs side by side (``limit``), and how
fast it is beside the others of its pool (``speed``).

``limit`` is proven level by level.  One request more than the limit is
tried only while every target of the pool is full and work waits.  A level
is proven when enough such trials were neither shed nor slower than a
queue would explain, and is lost when the target sheds at it.
"""

from math import exp

from attrs import define
from attrs import Factory

INITIAL_LIMIT = 1
MAX_LIMIT = 1_024
# Trials that prove a level: few until the first sign of a ceiling, so
# that a cold start is short, then enough to tell a queue from noise.
TRIALS_AT_START = 2
TRIALS_LATER = 16
CEILING_MS = 10_000
LONGEST_CEILING_MS = 160_000
SAMPLES_TO_DEMOTE = 24
LEVEL_WEIGHT = 0.06
LATENCY_WEIGHT = 0.1
# The wait behind n busy slots is about 1/n of a service time; half of
# that is the boundary between a slot of its own and a queue.
QUEUE_SLOPE = 0.5


@define
class _Level:
    """Latency, relative to the target's own mean, at one concurrency."""

    ratio: float = 1.0
    samples: int = 0

    def add(self, ratio: float) -> None:
        self.samples += 1
        weight = max(LEVEL_WEIGHT, 1.0 / self.samples)
        self.ratio += (ratio - self.ratio) * weight


@define
class Capacity:
    """The estimate for one target.

    ``latency_ms`` maps each service to the mean latency of its requests.
    ``ceiling_until_ms`` bars trials above the limit until then.
    """

    limit: int = INITIAL_LIMIT
    latency_ms: dict[str, float] = Factory(dict)
    levels: dict[int, _Level] = Factory(dict)
    trials: int = 0
    ceiling_until_ms: int = 0
    ceiling_ms: int = CEILING_MS
    ceiling_seen: bool = False

    def may_try(self, now_ms: int) -> bool:
        """Tell whether one request above the limit may be tried."""
        return now_ms >= self.ceiling_until_ms and self.limit < MAX_LIMIT

    def completed(
        self, service: str, level: int, latency_ms: float, now_ms: int
    ) -> None:
        """Note an answer to a request sent as the ``level``-th at once."""
        mean_ms = self.latency_ms.get(service)
        if mean_ms is None:
            mean_ms = self.latency_ms[service] = max(latency_ms, 0.1)
        change_ms = (latency_ms - mean_ms) * LATENCY_WEIGHT
        self.latency_ms[service] = max(0.1, mean_ms + change_ms)
        stats = self.levels.setdefault(level, _Level())
        stats.add(latency_ms / mean_ms)
        if level > self.limit:
            self._tried(level, now_ms)
        elif level == self.limit and level > 1:
            self._verify(level, now_ms)

    def shed(self, level: int, now_ms: int) -> None:
        """Note that the ``level``-th request at once was shed."""
        # Short of the limit, fewer fit than was proven: believe it.
        self.limit = max(INITIAL_LIMIT, min(self.limit, level - 1))
        self._raise_ceiling(now_ms)

    def _tried(self, level, now_ms):
        self.trials += 1
        needed = TRIALS_LATER if self.ceiling_seen else TRIALS_AT_START
        if self.trials < needed:
            return
        if self._queues_at(level, 1):
            self._raise_ceiling(now_ms)
            return
        self.limit = level
        self.trials = 0
        self.ceiling_ms = CEILING_MS

    def _verify(self, level, now_ms):
        if self.levels[level].samples < SAMPLES_TO_DEMOTE:
            return
        if self._queues_at(level, SAMPLES_TO_DEMOTE):
            self.limit = level - 1
            self._raise_ceiling(now_ms)

    def _queues_at(self, level, samples):
        """Tell whether requests at ``level`` wait for those below it."""
        below = self.levels.get(level - 1)
        if below is None or below.samples < samples:
            return False
        boundary = 1.0 + QUEUE_SLOPE / (level - 1)
        return self.levels[level].ratio > below.ratio * boundary

    def _raise_ceiling(self, now_ms):
        self.ceiling_seen = True
        self.trials = 0
        self.ceiling_until_ms = now_ms + self.ceiling_ms
        self.ceiling_ms = min(2 * self.ceiling_ms, LONGEST_CEILING_MS)
        for level in [one for one in self.levels if one > self.limit]:
            del self.levels[level]


@define
class BusyShare:
    """How busy a target was of late: slots in use, fading over time."""

    fade_ms: float
    busy: float = 0.0
    updated_ms: int = 0

    def update(self, in_progress: int, now_ms: int) -> float:
        """Account for ``in_progress`` since the last update."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms > 0:
            kept = exp(-elapsed_ms / self.fade_ms)
            self.busy = self.busy * kept + in_progress * (1.0 - kept)
            self.updated_ms = now_ms
        return self.busy
