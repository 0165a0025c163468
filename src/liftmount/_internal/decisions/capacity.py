"""Estimate the concurrency limit of one target from its answers.

The estimate uses neither the target's configuration nor a load report.
Its result is ``limit``, the number of requests that the target runs
concurrently.  A request's level k is its position among the requests in
progress: it is sent while k - 1 others are.

A request that ends ahead of earlier ones proves concurrency.  If j others
ended between its start and its end, then the remaining k - 1 - j were ahead
of it in any queue and still ran, so the target runs at least k - j at once.
This holds for any mix of request sizes and needs no latency statistics.  A
level without such a proof after enough trials counts as queueing.
"""

from math import exp

from attrs import define
from attrs import Factory

INITIAL_LIMIT = 1
MAX_LIMIT = 1_024
# Number of answers above the limit, none of them a proof, after which the
# ceiling is lowered; fewer are needed if it was lowered before.
TRIALS_TO_DISPROVE = 24
TRIALS_TO_DISPROVE_AGAIN = 8
# How long a ceiling holds; doubled each time until the limit rises.
MIN_CEILING_MS = 10_000
MAX_CEILING_MS = 160_000
# Weights of a new sample in the moving averages.
LATENCY_WEIGHT = 0.1
SHED_WEIGHT = 0.1
# The limit is lowered to the level below when nearly all requests are shed
# at a level and few below it; shedding at all levels has another cause.
# The two shares are too far apart for chance alone.
MIN_SHED_SHARE_AT_LEVEL = 0.85
MAX_SHED_SHARE_BELOW = 0.4
# A target that shares its processor among all requests proves any level but
# slows down: above this multiple of its best mean latency, no higher level
# is proven.
MAX_SLOWDOWN = 2.5
# Growth of the best mean latency per answer, so that a target that became
# slower for good can be proven again.
BEST_LATENCY_GROWTH = 1.001


@define
class _Latency:
    """Moving average of a service's latency, and its best value."""

    mean_ms: float
    best_ms: float

    def add(self, latency_ms: float) -> None:
        """Add a sample."""
        change_ms = (latency_ms - self.mean_ms) * LATENCY_WEIGHT
        self.mean_ms = max(0.1, self.mean_ms + change_ms)
        self.best_ms = min(self.best_ms * BEST_LATENCY_GROWTH, self.mean_ms)


@define
class Capacity:
    """The estimated concurrency of one target.

    ``limit`` is the highest proven level.  ``ceiling`` is the lowest
    disproved level and holds until ``ceiling_until_ms``; the next ceiling
    holds for ``ceiling_length_ms``.  ``trials`` counts answers above the
    limit without a proof.  ``shed_share`` maps each level to the share of
    requests shed there.
    """

    limit: int = INITIAL_LIMIT
    ceiling: int = MAX_LIMIT
    ceiling_until_ms: int = 0
    ceiling_length_ms: int = MIN_CEILING_MS
    trials: int = 0
    latencies: dict[str, _Latency] = Factory(dict)
    shed_share: dict[int, float] = Factory(dict)

    def latency_ms(self, service: str) -> float | None:
        """Return the mean latency of a service, or None if unknown."""
        found = self.latencies.get(service)
        return found.mean_ms if found else None

    def usable_limit(self, prior: int) -> int:
        """Return how many requests may be in progress at once.

        ``prior`` is the typical limit of the pool's targets; it applies
        to this one until it is disproved.
        """
        return max(self.limit, min(prior, self.ceiling - 1))

    def may_try(self, level: int, now_ms: int) -> bool:
        """Return whether a request may be sent at ``level``."""
        if now_ms >= self.ceiling_until_ms:
            self.ceiling = MAX_LIMIT
        return level < self.ceiling

    def completed(
        self,
        service: str,
        level: int,
        ended_before: int,
        latency_ms: float,
        now_ms: int,
    ) -> None:
        """Record the answer to a request that was sent at ``level``.

        ``ended_before`` others ended between its start and its end.
        """
        self._update_shed_share(level, False)
        latency = self.latencies.get(service)
        if latency is None:
            latency = _Latency(latency_ms, latency_ms)
            self.latencies[service] = latency
        latency.add(latency_ms)
        proven = level - ended_before
        is_slower = latency.mean_ms > MAX_SLOWDOWN * latency.best_ms
        if proven > self.limit and not is_slower:
            self._raise_limit(proven)
        elif level > self.limit:
            self.trials += 1
            if self.trials >= self._trials_needed():
                self._lower_ceiling(self.limit + 1, now_ms)

    def shed(self, level: int, now_ms: int) -> None:
        """Record that a request sent at ``level`` was shed."""
        share = self._update_shed_share(level, True)
        if level > self.limit:
            self._lower_ceiling(level, now_ms)
            return
        below = self.shed_share.get(level - 1, 0.0)
        if (
            level > 1
            and share > MIN_SHED_SHARE_AT_LEVEL
            and below < MAX_SHED_SHARE_BELOW
        ):
            self.limit = level - 1
            self._lower_ceiling(level, now_ms)

    def _trials_needed(self):
        was_disproved = self.ceiling_length_ms > MIN_CEILING_MS
        return (
            TRIALS_TO_DISPROVE_AGAIN if was_disproved else TRIALS_TO_DISPROVE
        )

    def _update_shed_share(self, level, was_shed):
        share = self.shed_share.get(level, 0.0)
        share += (was_shed - share) * SHED_WEIGHT
        self.shed_share[level] = share
        return share

    def _raise_limit(self, level):
        self.limit = min(level, MAX_LIMIT)
        self.trials = 0
        self.ceiling_length_ms = MIN_CEILING_MS
        if self.ceiling <= self.limit:
            self.ceiling = MAX_LIMIT

    def _lower_ceiling(self, level, now_ms):
        self.ceiling = level
        self.trials = 0
        self.ceiling_until_ms = now_ms + self.ceiling_length_ms
        doubled_ms = 2 * self.ceiling_length_ms
        self.ceiling_length_ms = min(doubled_ms, MAX_CEILING_MS)
        for stale in [key for key in self.shed_share if key > self.limit]:
            del self.shed_share[stale]


@define
class BusyShare:
    """Exponentially decaying average of a target's slots in use.

    ``fade_ms`` is the time constant of the decay.
    """

    fade_ms: float
    busy: float = 0.0
    updated_ms: int = 0

    def update(self, in_progress: int, now_ms: int) -> float:
        """Return the average with ``in_progress`` since the last update."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms > 0:
            self.busy = decay_mean(
                self.busy, in_progress, elapsed_ms, self.fade_ms
            )
            self.updated_ms = now_ms
        return self.busy


def decay_mean(
    mean: float, value: float, elapsed_ms: float, fade_ms: float
) -> float:
    """Return a decaying mean after ``value`` held for ``elapsed_ms``."""
    kept = exp(-elapsed_ms / fade_ms)
    return mean * kept + value * (1.0 - kept)
