"""How many flows a target gets while it is cold, summed over all balancers.

A service may state how many requests a second a cold target bears.  The
balancers don't ask each other on the way of a packet, so each sends an even
share of that rate, and begins at a moment of its own.

Load pattern: a failure domain's targets come back at once, cold, and all
balancers find them idle.
"""

from math import ceil
from zlib import crc32

from attrs import define
from attrs import Factory

from liftmount._internal.models.segments import WarmUp

MS_PER_S = 1_000
# Part of the stated rate that all balancers send together.  The rule allows
# half as much again as is stated, and five more, in any second: room for
# members that are not heard of yet, and for moments that fall together.  With
# 99 balancers that miss a tenth of each other and 60 targets cold at 10 a
# second each, simulated, the most in a second were 13 of 20 allowed and 28 %
# of the flows were refused.  With an owner of each target that sends half of
# the rate beside a share of 0.4 it was 11 and 31 %, with the owner alone 49 %.
RATE_SHARE = 0.8
# A moment that passed without a flow for this long is gone.  Kept, those of a
# quiet time would all be used at once: after 5 s four times the stated rate,
# worked out.  So moments of 1.5 s count in any second, 1.2 times the rate.
SEND_TIME_VALID_MS = 500
CRC_VALUES = 2**32


@define
class Fleet:
    """About how many balancers there are, this one included.

    0 as long as this one, ``name``, has not heard of all; until then it
    sends nothing to cold targets.  Members that died of late count: those
    that take each other for dead would each send a larger share.
    """

    name: str = ''
    balancers: int = 0


@define
class SlowStartBudget:
    """What the cold targets of one service may get from this balancer.

    ``since_ms`` tells when each turned cold, ``next_ms`` when it may get
    one more.
    """

    warm_up: WarmUp
    fleet: Fleet
    since_ms: dict[str, int] = Factory(dict)
    next_ms: dict[str, float] = Factory(dict)

    def begin(self, target: str, now_ms: int) -> None:
        """Note that a target is cold from now on, or still is."""
        self.since_ms.setdefault(target, now_ms)

    def may_take(self, target: str, now_ms: int) -> bool:
        """Tell whether a cold target may get a flow now."""
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
        """Note a flow that was sent to a cold target."""
        self.next_ms[target] = now_ms + self._gap_ms()

    def forget(self, target: str) -> None:
        """Forget a target that is gone, or warm."""
        self.since_ms.pop(target, None)
        self.next_ms.pop(target, None)

    def _gap_ms(self):
        """Return the time between two flows to one target."""
        rate_per_s = RATE_SHARE * self.warm_up.per_s
        return MS_PER_S * self.fleet.balancers / rate_per_s
