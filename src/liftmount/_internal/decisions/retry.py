"""Retry budget and backoff."""

from attrs import define

DEFAULT_SHARE = 0.1
DEFAULT_BURST = 10.0


@define
class RetryBudget:
    """Allows retries only as a share of recent first attempts.

    Each first attempt earns ``share`` of a retry, up to ``burst``; so a
    failing pool is never asked much more often than a healthy one.
    """

    share: float = DEFAULT_SHARE
    burst: float = DEFAULT_BURST
    credit: float = DEFAULT_BURST

    def earn(self) -> None:
        """Note a first attempt."""
        self.credit = min(self.burst, self.credit + self.share)

    def spend(self) -> bool:
        """Take one retry if the budget allows it."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


@define
class Backoff:
    """Exponential backoff with full jitter, in milliseconds."""

    first_ms: int
    longest_ms: int
    attempts: int = 0

    def next_ms(self, fraction: float) -> int:
        """Return the next wait; ``fraction`` in [0, 1) is the jitter."""
        ceiling = min(self.longest_ms, self.first_ms << self.attempts)
        if ceiling < self.longest_ms:
            self.attempts += 1
        return int(ceiling * (1 + fraction) / 2)

    def reset(self) -> None:
        """Start over after a success."""
        self.attempts = 0
