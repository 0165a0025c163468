"""How busy the own link is, from the bytes that it carries.

Answers the load of many clients that send much at once through a small
balancer: what it sends and expects then waits at its link, and silence of
others says little.  A link that was full a moment ago has a queue that
cannot be seen from here, so it counts as busy for some time after.
"""

from attrs import define
from attrs import Factory

# Head of an IP and of a UDP packet, which the link carries with each one.
HEADER_BYTES = 28
# Bytes that a link of 1 Mbit/s carries in a millisecond.
BYTES_PER_MEGABIT = 125
# Part of its rate from which on a link fills: what comes in bursts waits
# before the whole rate is used.
USABLE_SHARE = 0.8
# Work beyond that share that makes the link busy.  A probe over a free
# link takes some 6 ms, and an answer to it may wait as long each way.
MAX_QUEUED_MS = 15
# What waited when the last packet came has passed the link by then: a
# client has up to 16 packets of 1,232 bytes under way, 80 ms at 2 Mbit/s,
# each way.
BUSY_HOLD_MS = 160
# A transfer of this size beside the packets fills a slow link at once.
BULK_BYTES = 8_192
# Answers of one page arrive at once on a link that is free.
BULK_LASTS_MS = 30
BULK_MS = 1_000


@define
class _Direction:
    """Bytes beyond the part of the rate that is free, as time."""

    queued_ms: float = 0.0
    seen_ms: int = 0

    def add(self, takes_ms: float, now_ms: int) -> float:
        """Add what a packet takes; return how long all of it takes."""
        elapsed_ms = now_ms - self.seen_ms
        self.seen_ms = now_ms
        self.queued_ms = max(0.0, self.queued_ms - elapsed_ms) + takes_ms
        return self.queued_ms


@define
class LinkMonitor:
    """The link of this balancer, each way; one of rate 0 never fills.

    ``busy_until_ms`` is when it counts as free again, ``times_busy`` how
    often it filled.
    """

    megabits_per_s: float = 0.0
    inbound: _Direction = Factory(_Direction)
    outbound: _Direction = Factory(_Direction)
    busy_until_ms: int = 0
    times_busy: int = 0

    def is_busy(self, now_ms: int) -> bool:
        """Tell whether what passes the link may wait there."""
        return now_ms < self.busy_until_ms

    def received(self, size_bytes: int, now_ms: int) -> None:
        """Note a packet that came."""
        self._account(self.inbound, size_bytes, now_ms)

    def sent(self, size_bytes: int, now_ms: int) -> None:
        """Note a packet that went."""
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
        """Note what was carried beside packets, and for how long."""
        if size_bytes >= BULK_BYTES or lasted_ms >= BULK_LASTS_MS:
            self._mark_busy(now_ms + BULK_MS, now_ms)

    def _mark_busy(self, until_ms, now_ms):
        if not self.is_busy(now_ms):
            self.times_busy += 1
        self.busy_until_ms = max(self.busy_until_ms, until_ms)
