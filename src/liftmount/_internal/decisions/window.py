"""Anti-replay window: each request number of a token is used once.

The scheme is that of IPsec (RFC 4303, section 3.4.3): the highest number
seen and a bitmap of those just below it.
"""

from enum import Enum

from attrs import define

WINDOW_WIDTH = 1_024
_MASK = (1 << WINDOW_WIDTH) - 1


class Claim(Enum):
    """The answer to an attempt to use a number."""

    NEW = 'new'
    SEEN = 'seen'
    TOO_OLD = 'too_old'


@define
class Window:
    """The numbers of one token that were used.

    Takes constant memory.  A number below the window counts as used,
    since it can no longer be told apart from one that was.
    """

    highest: int = 0
    bitmap: int = 0

    def claim(self, number: int) -> Claim:
        """Use ``number`` (1 or more) unless it may have been used."""
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
        """Tell what ``claim`` would answer, without using the number."""
        if number > self.highest:
            return Claim.NEW
        offset = self.highest - number
        if offset >= WINDOW_WIDTH:
            return Claim.TOO_OLD
        return Claim.SEEN if self.bitmap >> offset & 1 else Claim.NEW
