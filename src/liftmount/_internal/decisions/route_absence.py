"""What it proves that a flow's address has no route in the table held here.

The route was dropped, never existed, or is newer than the table. A flow that
is open had a route when its first segment arrived here, so its route is
proven to be gone once the table is known to be no older than that.
"""

from enum import Enum

from attrs import define
from attrs import Factory

from liftmount._internal.clock import NEVER_MS

# A table is fresh for this long after its confirmation, unless the platform
# states another bound for changes.
FRESH_MS = 3_000
# Flows whose segments wait for a route; the oldest are forgotten first.
MAX_WAITING_FLOWS = 1_024


class Absence(Enum):
    """What is known about a flow whose address has no route."""

    PROVEN = 'proven'
    # The table is fresh, but may be older than the flow.
    UNPROVEN = 'unproven'
    # The table is not fresh: routes may have been added long ago.
    UNKNOWN = 'unknown'


@define
class RouteAbsence:
    """When the routes were confirmed, and the flows that wait for one.

    The store held no newer table than one up to the present one at
    ``confirmed_ms``. ``waiting`` maps the keys of flows that are not in the
    flow table to the arrival of their first segment. ``is_following`` tells
    whether the flow table may hold flows without a route.
    """

    fresh_ms: int = FRESH_MS
    confirmed_ms: int = NEVER_MS
    waiting: dict[bytes, int] = Factory(dict)
    is_following: bool = False

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the routes were confirmed within the bound."""
        return now_ms - self.confirmed_ms <= self.fresh_ms

    def judge(self, first_ms: int, now_ms: int) -> Absence:
        """Judge a flow whose first segment arrived at ``first_ms``."""
        if first_ms <= self.confirmed_ms:
            return Absence.PROVEN
        return Absence.UNPROVEN if self.is_fresh(now_ms) else Absence.UNKNOWN

    def note_waiting(self, flow: bytes, now_ms: int) -> int:
        """Return when the first segment of a waiting flow arrived."""
        if flow not in self.waiting:
            if len(self.waiting) >= MAX_WAITING_FLOWS:
                del self.waiting[next(iter(self.waiting))]
            self.waiting[flow] = now_ms
        return self.waiting[flow]

    def confirm(self, as_of_ms: int) -> None:
        """Record a confirmation of the table held here, or an older one."""
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)

    def forget_waiting(self, until_ms: int) -> None:
        """Forget the flows whose first segment arrived by ``until_ms``."""
        for flow, first_ms in list(self.waiting.items()):
            if first_ms <= until_ms:
                del self.waiting[flow]
