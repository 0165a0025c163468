"""Retry budget and backoff."""

from attrs import define

DEFAULT_SHARE = 0.1
DEFAULT_BURST = 10.0


@define
class RetryBudget:
    """Limits retries to a share of recent first attempts.

    Each first attempt earns ``share`` of a retry, up to ``burst``, so
    retries do not multiply the load on a failing pool.
    """

    share: float = DEFAULT_SHARE
    burst: float = DEFAULT_BURST
    credit: float = DEFAULT_BURST

    def earn(self) -> None:
        """Earn credit for a first attempt."""
        self.credit = min(self.burst, self.credit + self.share)

    def spend(self) -> bool:
        """Spend one retry; return False if the budget has none."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


@define
class Backoff:
    """Exponential backoff with equal jitter, in milliseconds.

    Each delay is between half of the exponential value and all of it.
    """

    first_ms: int
    longest_ms: int
    attempts: int = 0

    def next_ms(self, fraction: float) -> int:
        """Return the next delay; ``fraction`` in [0, 1) is the jitter."""
        ceiling = min(self.longest_ms, self.first_ms << self.attempts)
        if ceiling < self.longest_ms:
            self.attempts += 1
        return int(ceiling * (1 + fraction) / 2)

    def reset(self) -> None:
        """Start over after a success."""
        self.attempts = 0
