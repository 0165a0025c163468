"""Graceful shutdown of a balancer: when its process may end.

The balancer reports that it is not ready and forwards packets until the
fabric has stopped sending to it.  It then ends without delay, so that its
failure domain is one balancer short for as little time as possible.
"""

from attrs import define

# The fabric drops a balancer after this many readiness checks that fail.
MIN_REFUSALS = 2
# Time without a packet after which the fabric has stopped sending.
# At the smallest site, flows in use send a balancer something every 30 ms.
QUIET_MS = 200
# Longest time of forwarding, enough for two restarts of another balancer.
MAX_FORWARD_MS = 4_500


@define
class ShutdownState:
    """A graceful shutdown, which ends at ``until_ms`` at the latest.

    ``refusals`` counts readiness checks answered with not ready.
    """

    started_ms: int
    until_ms: int
    refusals: int = 0
    last_packet_ms: int = 0

    def record_refusal(self) -> None:
        """Record that a readiness check was answered with not ready."""
        self.refusals += 1

    def record_packet(self, now_ms: int) -> None:
        """Record that a packet of the fabric was received."""
        self.last_packet_ms = now_ms

    def may_end(self, now_ms: int) -> bool:
        """Return whether the process may end."""
        if now_ms >= min(self.until_ms, self.started_ms + MAX_FORWARD_MS):
            return True
        if self.refusals < MIN_REFUSALS:
            return False
        return now_ms - max(self.last_packet_ms, self.started_ms) >= QUIET_MS
