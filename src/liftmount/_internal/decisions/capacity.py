"""Learns what one target can carry from its own answers.

Nothing is read off an age, a label or a load endpoint.  What is learnt is
how many requests a target runs side by side, its ``limit``.

The proof is an overtaking.  Say a request was sent as the k-th at once,
and j others ended before it did.  The k - 1 - j that were sent earlier and
have not ended were ahead of it in any queue, so they were running too:
the target runs at least k - j side by side.  This holds whatever the sizes
of the requests, so it needs no statistics of latency.  A level without
such a proof after enough trials is taken for a queue.
"""

from math import exp

from attrs import define
from attrs import Factory

INITIAL_LIMIT = 1
MAX_LIMIT = 1_024
# Trials at a level without a proof, before it is taken for a queue.
TRIALS_TO_DISPROVE = 24
# A level that was disproved before needs fewer to be disproved again.
TRIALS_TO_DISPROVE_AGAIN = 8
MIN_CEILING_MS = 10_000
MAX_CEILING_MS = 160_000
LATENCY_WEIGHT = 0.1
SHED_WEIGHT = 0.1
# Sheds at a level mean that it does not fit if they are the rule there
# and rare below; sheds at all levels have another cause.  The shares lie
# far enough apart that chance alone does not bridge them.
MIN_SHED_SHARE_AT_LEVEL = 0.85
MAX_SHED_SHARE_BELOW = 0.4
# A target that shares its processor among all requests proves any level,
# but gets slower.  Above this multiple of its best mean latency no higher
# level is taken for proven; the best fades, so that a target which has
# become slower for good may be proven anew.
MAX_SLOWDOWN = 2.5
BEST_LATENCY_GROWTH = 1.001


@define
class _Latency:
    """Latency of one service: fading mean, and the best such mean."""

    mean_ms: float
    best_ms: float

    def add(self, latency_ms: float) -> None:
        """Note a latency."""
        change_ms = (latency_ms - self.mean_ms) * LATENCY_WEIGHT
        self.mean_ms = max(0.1, self.mean_ms + change_ms)
        self.best_ms = min(self.best_ms * BEST_LATENCY_GROWTH, self.mean_ms)


@define
class Capacity:
    """The estimate for one target.

    ``limit`` is proven.  ``ceiling`` is the lowest level that was
    disproved; it is believed until ``ceiling_until_ms``.
    ``shed_share`` maps levels to the share of requests shed there.
    """

    limit: int = INITIAL_LIMIT
    ceiling: int = MAX_LIMIT
    ceiling_until_ms: int = 0
    ceiling_length_ms: int = MIN_CEILING_MS
    trials: int = 0
    latencies: dict[str, _Latency] = Factory(dict)
    shed_share: dict[int, float] = Factory(dict)

    def latency_ms(self, service: str) -> float | None:
        """Return the mean latency of a service, or None when unknown."""
        found = self.latencies.get(service)
        return found.mean_ms if found else None

    def usable_limit(self, prior: int) -> int:
        """Return how many requests may be sent at once.

        ``prior`` is what the pool's targets have proven as a rule; it
        holds for this one until disproved.
        """
        return max(self.limit, min(prior, self.ceiling - 1))

    def may_try(self, level: int, now_ms: int) -> bool:
        """Tell whether a request may be tried at ``level``."""
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
        """Note an answer to a request sent as the ``level``-th at once.

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
        """Note that the ``level``-th request at once was shed."""
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
        for one in [key for key in self.shed_share if key > self.limit]:
            del self.shed_share[one]


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
            self.busy = decay_mean(
                self.busy, in_progress, elapsed_ms, self.fade_ms
            )
            self.updated_ms = now_ms
        return self.busy


def decay_mean(
    mean: float, value: float, elapsed_ms: float, fade_ms: float
) -> float:
    """Return a mean after ``value`` held for ``elapsed_ms``."""
    kept = exp(-elapsed_ms / fade_ms)
    return mean * kept + value * (1.0 - kept)
