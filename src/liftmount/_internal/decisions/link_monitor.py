"""Estimate of whether this balancer's link is busy, from the bytes on it.

When clients send bursts through a small balancer, packets queue at its link,
and missing answers of targets are no evidence. The queue can't be observed
from here, so a link that was full counts as busy for some time afterwards.
"""

from attrs import define
from attrs import Factory

# IPv4 and UDP headers of a packet.
HEADER_BYTES = 28
# Bytes that a link of 1 Mbit/s carries in a millisecond.
BYTES_PER_MEGABIT = 125
# Share of the link rate above which packets queue: bursts queue before the
# whole rate is used.
USABLE_SHARE = 0.8
# Queue that makes the link busy.
# A probe takes some 6 ms over a free link, and may wait this long each way.
MAX_QUEUED_MS = 15
# The link counts as busy this long, until its queue has drained both ways.
# A client has up to 16 packets of 1,232 bytes in flight: 80 ms each way at
# 2 Mbit/s.
BUSY_HOLD_MS = 160
# A transfer of this size outside the packet path makes the link busy.
BULK_BYTES = 8_192
# So does a transfer that takes this long, since the link is not free.
BULK_LASTS_MS = 30
BULK_BUSY_MS = 1_000


@define
class _Direction:
    """Estimated queue of one direction, in transmission time."""

    queued_ms: float = 0.0
    seen_ms: int = 0

    def add(self, takes_ms: float, now_ms: int) -> float:
        """Add the transmission time of a packet and return the queue."""
        elapsed_ms = now_ms - self.seen_ms
        self.seen_ms = now_ms
        self.queued_ms = max(0.0, self.queued_ms - elapsed_ms) + takes_ms
        return self.queued_ms


@define
class LinkMonitor:
    """The link of this balancer; with a rate of 0 it is never busy.

    ``busy_until_ms`` is when it counts as free again, ``times_busy`` how
    often it became busy.
    """

    megabits_per_s: float = 0.0
    inbound: _Direction = Factory(_Direction)
    outbound: _Direction = Factory(_Direction)
    busy_until_ms: int = 0
    times_busy: int = 0

    def is_busy(self, now_ms: int) -> bool:
        """Return whether packets may queue at the link."""
        return now_ms < self.busy_until_ms

    def received(self, size_bytes: int, now_ms: int) -> None:
        """Record a received packet."""
        self._account(self.inbound, size_bytes, now_ms)

    def sent(self, size_bytes: int, now_ms: int) -> None:
        """Record a sent packet."""
        self._account(self.outbound, size_bytes, now_ms)

    def _account(self, direction, size_bytes, now_ms):
        if not self.megabits_per_s:
            return
        bytes_per_ms = self.megabits_per_s * BYTES_PER_MEGABIT * USABLE_SHARE
        takes_ms = (size_bytes + HEADER_BYTES) / bytes_per_ms
        if direction.add(takes_ms, now_ms) > MAX_QUEUED_MS:
            self._mark_busy(now_ms + BUSY_HOLD_MS, now_ms)

    def transferred(
        self, size_bytes: int, lasted_ms: int, now_ms: int
    ) -> None:
        """Record a transfer outside the packet path and its duration."""
        if size_bytes >= BULK_BYTES or lasted_ms >= BULK_LASTS_MS:
            self._mark_busy(now_ms + BULK_BUSY_MS, now_ms)

    def _mark_busy(self, until_ms, now_ms):
        if not self.is_busy(now_ms):
            self.times_busy += 1
        self.busy_until_ms = max(self.busy_until_ms, until_ms)
