"""Reassembly of bodies from pieces, with bounded memory."""

from attrs import define
from attrs import Factory


@define
class _PartialBody:
    pieces: int
    started_ms: int
    parts: dict[int, bytes] = Factory(dict)
    size_bytes: int = 0


@define
class Reassembly:
    """Bodies of which some pieces are still missing.

    ``max_bytes`` bounds the memory for all of them together; the oldest
    are evicted first.  The sender of an evicted body sends it again.
    """

    max_bytes: int = 64 * 1_048_576
    keep_ms: int = 5_000
    size_bytes: int = 0
    _partials: dict = Factory(dict)

    def add(self, key, piece: int, pieces: int, body: bytes, now_ms: int):
        """Add a piece; return the body if it is complete, else None."""
        if pieces == 1:
            return body
        partial = self._partials.get(key)
        if partial is None or partial.pieces != pieces:
            self.discard(key)
            partial = self._partials[key] = _PartialBody(pieces, now_ms)
        if piece not in partial.parts:
            partial.parts[piece] = body
            partial.size_bytes += len(body)
            self.size_bytes += len(body)
        if len(partial.parts) == pieces:
            self.discard(key)
            return b''.join(partial.parts[i] for i in range(pieces))
        self._evict_oldest()
        return None

    def discard(self, key) -> None:
        """Remove the pieces of ``key``."""
        partial = self._partials.pop(key, None)
        if partial is not None:
            self.size_bytes -= partial.size_bytes

    def expire(self, now_ms: int) -> None:
        """Remove bodies that are incomplete after ``keep_ms``."""
        # Dicts keep insertion order, so the oldest comes first.
        while self._partials:
            key, partial = next(iter(self._partials.items()))
            if now_ms - partial.started_ms < self.keep_ms:
                return
            self.discard(key)

    def _evict_oldest(self):
        while self.size_bytes > self.max_bytes:
            self.discard(next(iter(self._partials)))
