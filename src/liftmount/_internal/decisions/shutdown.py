"""When a balancer that was told to stop may end.

It says that it is not ready and forwards until the fabric has moved on.
While it is out, its failure domain has one balancer less, so it ends as
soon as nobody needs it: with too few balancers left the fabric would use
those that are gone as well.
"""

from attrs import define

# The fabric drops a balancer that did not say it is ready twice.
MIN_REFUSALS = 2
# Without a packet for this long after that, the fabric has moved on; flows
# in use send something every 30 ms on a balancer of the smallest site.
QUIET_MS = 200
# The longest that a stopping balancer forwards: two restarts of another
# balancer, which takes over as soon as it is back.
MAX_FORWARD_MS = 4_500


@define
class ShutdownState:
    """A planned stop; ``until_ms`` is when it ends at the latest."""

    started_ms: int
    until_ms: int
    refusals: int = 0
    last_packet_ms: int = 0

    def record_refusal(self) -> None:
        """Note that the fabric was told that this one is not ready."""
        self.refusals += 1

    def record_packet(self, now_ms: int) -> None:
        """Note that the fabric still sends packets."""
        self.last_packet_ms = now_ms

    def may_end(self, now_ms: int) -> bool:
        """Tell whether the process may end."""
        if now_ms >= min(self.until_ms, self.started_ms + MAX_FORWARD_MS):
            return True
        if self.refusals < MIN_REFUSALS:
            return False
        return now_ms - max(self.last_packet_ms, self.started_ms) >= QUIET_MS
