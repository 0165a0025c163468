"""Slow start: limits the flows that a target gets while it warms up.

A service may state a rate of requests that a target in slow start can take
from all balancers together. Balancers don't coordinate per packet: each sends
an even share of the rate, with an offset of its own. The limit matters when
all targets of a failure domain restart at once and are idle for every
balancer.
"""

from math import ceil
from zlib import crc32

from attrs import define
from attrs import Factory

from liftmount._internal.models.segments import WarmUp

MS_PER_S = 1_000
# Share of the stated rate that all balancers send together; leaves room for
# members that are not known yet and for coinciding send times.
# The limit is 1.5 times the stated rate plus 5 flows in any second.
RATE_SHARE = 0.8
# Send times that passed unused for longer expire, so that they are not all
# used at once after an idle time.
# So one second has the send times of at most 1.5 s: 1.2 times the stated rate.
SEND_TIME_VALID_MS = 500
CRC_VALUES = 2**32


@define
class Fleet:
    """The balancers that share the rate of targets in slow start.

    ``name`` is the name of this one, and ``balancers`` their number. It is 0
    until all members are known; targets in slow start get no flows until
    then. Recently dead members count: balancers that consider each other
    dead would otherwise each send a larger share.
    """

    name: str = ''
    balancers: int = 0


@define
class SlowStartBudget:
    """Limits the flows from this balancer to targets in slow start.

    ``since_ms`` maps a target to the start of its slow start, ``next_ms`` to
    the time from which it may get its next flow.
    """

    warm_up: WarmUp
    fleet: Fleet
    since_ms: dict[str, int] = Factory(dict)
    next_ms: dict[str, float] = Factory(dict)

    def begin(self, target: str, now_ms: int) -> None:
        """Start the slow start of a target unless it has begun already."""
        self.since_ms.setdefault(target, now_ms)

    def may_take(self, target: str, now_ms: int) -> bool:
        """Return whether a target in slow start may get a flow now."""
        if not self.fleet.balancers:
            return False
        gap_ms = self._gap_ms()
        next_ms = self.next_ms.get(target)
        if next_ms is None:
            mixed = crc32(f'{self.fleet.name} {target}'.encode())
            phase_ms = gap_ms * mixed / CRC_VALUES
            next_ms = self.since_ms.get(target, now_ms) + phase_ms
        late_ms = now_ms - next_ms - SEND_TIME_VALID_MS
        if late_ms > 0:
            next_ms += gap_ms * ceil(late_ms / gap_ms)
        self.next_ms[target] = next_ms
        return now_ms >= next_ms

    def spend(self, target: str, now_ms: int) -> None:
        """Record a flow sent to a target in slow start."""
        self.next_ms[target] = now_ms + self._gap_ms()

    def forget(self, target: str) -> None:
        """Remove a target that is gone or warm."""
        self.since_ms.pop(target, None)
        self.next_ms.pop(target, None)

    def _gap_ms(self):
        """Return the interval between two flows to one target."""
        rate_per_s = RATE_SHARE * self.warm_up.per_s
        return MS_PER_S * self.fleet.balancers / rate_per_s
