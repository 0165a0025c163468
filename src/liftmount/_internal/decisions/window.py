"""Anti-replay window: each request number of a flow is used only once.

The scheme is that of IPsec (RFC 4303, section 3.4.3): the highest number
seen, and a bitmap of the numbers just below it.
"""

from enum import Enum

from attrs import define

WINDOW_WIDTH = 1_024
_MASK = (1 << WINDOW_WIDTH) - 1


class Claim(Enum):
    """The result of claiming a number."""

    NEW = 'new'
    SEEN = 'seen'
    TOO_OLD = 'too_old'


@define
class Window:
    """The used numbers of one flow, in constant memory.

    Numbers below the window are no longer recorded and count as used.
    """

    highest: int = 0
    bitmap: int = 0

    def claim(self, number: int) -> Claim:
        """Mark ``number`` (1 or more) as used, unless it may be already."""
        if number > self.highest:
            shift = number - self.highest
            if shift >= WINDOW_WIDTH:
                self.bitmap = 1
            else:
                self.bitmap = ((self.bitmap << shift) | 1) & _MASK
            self.highest = number
            return Claim.NEW
        offset = self.highest - number
        if offset >= WINDOW_WIDTH:
            return Claim.TOO_OLD
        bit = 1 << offset
        if self.bitmap & bit:
            return Claim.SEEN
        self.bitmap |= bit
        return Claim.NEW

    def peek(self, number: int) -> Claim:
        """Return what ``claim`` would, without marking the number."""
        if number > self.highest:
            return Claim.NEW
        offset = self.highest - number
        if offset >= WINDOW_WIDTH:
            return Claim.TOO_OLD
        return Claim.SEEN if self.bitmap >> offset & 1 else Claim.NEW
