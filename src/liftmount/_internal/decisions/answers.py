"""A cache of final answers, for callers that send a request again."""

from attrs import define
from attrs import Factory

from liftmount._internal.models.verdict import Outcome

# Estimated memory of an entry besides its body.
ENTRY_OVERHEAD_BYTES = 200


@define
class KeptAnswers:
    """Outcomes by (nonce, number), bounded in age and total size."""

    keep_ms: int
    max_bytes: int
    size_bytes: int = 0
    _entries: dict = Factory(dict)

    def put(self, key, outcome: Outcome, now_ms: int) -> None:
        """Add an outcome, and evict the oldest beyond ``max_bytes``."""
        self._entries[key] = (outcome, now_ms)
        self.size_bytes += _size(outcome)
        while self.size_bytes > self.max_bytes:
            self._drop_oldest()

    def get(self, key) -> Outcome | None:
        """Return the outcome of ``key``, or None if it is not kept."""
        found = self._entries.get(key)
        return found[0] if found else None

    def expire(self, now_ms: int) -> None:
        """Remove the outcomes that are older than ``keep_ms``."""
        while self._entries:
            _outcome, kept_ms = next(iter(self._entries.values()))
            if now_ms - kept_ms < self.keep_ms:
                return
            self._drop_oldest()

    def _drop_oldest(self):
        outcome, _kept_ms = self._entries.pop(next(iter(self._entries)))
        self.size_bytes -= _size(outcome)


def _size(outcome):
    return len(outcome.body) + ENTRY_OVERHEAD_BYTES
