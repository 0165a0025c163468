"""Pins: targets of flows whose tag may name a target that lost a race.

The balancer at which such a flow opened tells its target to two members of
its failure domain, which are chosen by the flow. Whoever gets the flow next,
after a stop, a kill or a change of the fabric, asks the members that the flow
chooses then. Members that leave do not change the order of the others, so
that the two are among those asked.
"""

from heapq import nsmallest
from zlib import crc32

from attrs import define
from attrs import Factory

from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.decisions.flow_table import Phase

# Members that keep a pin, besides the balancer that tells it.
KEEPERS = 2
# Members that are asked: the keepers, and the one that told them if it ranks
# as high.
ASKED_MEMBERS = 3
# Members of a domain answer within a few ms, slow ones within some tens.
ANSWER_TIMEOUT_MS = 100
MAX_PINS = 65_536
MAX_QUESTIONS = 1_024
# Pins told per second and at once, apart from those of a planned stop. Each
# takes two datagrams of 28 bytes and their headers, of 2 KB a second.
SHARED_PER_S = 8
MAX_BURST = 64
MS_PER_S = 1_000
# An odd multiplier that spreads the bits of a 32-bit hash.
MIX = 0x9E3779B1
HASH_MASK = 2**32 - 1


class MemberRanking:
    """The order in which each flow chooses among the same names."""

    def __init__(self, names=()):
        self._hashed = [(crc32(name.encode()), name) for name in names]

    def first(self, flow: bytes, count: int) -> list[str]:
        """Return the first names that a flow chooses, up to ``count``."""
        key = crc32(flow)
        weighed = [
            ((key ^ hashed) * MIX & HASH_MASK, name)
            for hashed, name in self._hashed
        ]
        return [name for _weight, name in nsmallest(count, weighed)]


@define
class _Pin:
    """The target of a flow, kept until ``until_ms``."""

    target: str
    until_ms: int


@define
class _Question:
    """A question to ``waiting_for`` members, open until ``until_ms``."""

    until_ms: int
    waiting_for: int


@define
class PinTable:
    """Pins kept here, for ``retention_ms``, and questions to other members.

    ``peers`` is the number of members that can be asked. ``unknown`` maps
    flows of which no member knew a pin to the time until which they are not
    asked again.
    """

    retention_ms: int
    peers: int = 0
    pins: dict[bytes, _Pin] = Factory(dict)
    questions: dict[bytes, _Question] = Factory(dict)
    unknown: dict[bytes, int] = Factory(dict)

    def find(self, flow: bytes, now_ms: int) -> str:
        """Return the target that a flow is pinned to, or ''."""
        pin = self.pins.get(flow)
        if pin is None or now_ms >= pin.until_ms:
            return ''
        return pin.target

    def put(self, flow: bytes, target: str, now_ms: int) -> None:
        """Keep a pin; it replaces the one before."""
        self.remove(flow)
        _make_room(self.pins, MAX_PINS)
        self.pins[flow] = _Pin(target, now_ms + self.retention_ms)

    def deny(self, flow: bytes) -> None:
        """Note that a member keeps no pin of a flow."""
        question = self.questions.get(flow)
        if question is not None:
            question.waiting_for -= 1

    def remove(self, flow: bytes) -> None:
        """Forget a flow: its ends are used for another one."""
        for known in (self.pins, self.questions, self.unknown):
            known.pop(flow, None)

    def start_asking(self, flow: bytes, now_ms: int) -> bool:
        """Return whether to ask about a flow; only once for each."""
        if not self.peers or flow in self.questions or flow in self.unknown:
            return False
        _make_room(self.questions, MAX_QUESTIONS)
        self.questions[flow] = _Question(
            now_ms + ANSWER_TIMEOUT_MS, min(ASKED_MEMBERS, self.peers)
        )
        return True

    def is_asking(self, flow: bytes) -> bool:
        """Return whether answers about a flow are still awaited."""
        return flow in self.questions

    def end_questions(self, now_ms: int) -> int:
        """End the questions that brought no pin; return how many."""
        ended = [
            flow
            for flow, one in self.questions.items()
            if one.waiting_for <= 0 or now_ms >= one.until_ms
        ]
        for flow in ended:
            del self.questions[flow]
            _make_room(self.unknown, MAX_PINS)
            self.unknown[flow] = now_ms + self.retention_ms
        return len(ended)

    def expire(self, now_ms: int) -> None:
        """Forget old pins, and which flows nobody knew; oldest first."""
        for flow, pin in list(self.pins.items()):
            if now_ms < pin.until_ms:
                break
            del self.pins[flow]
        for flow, until_ms in list(self.unknown.items()):
            if now_ms < until_ms:
                break
            del self.unknown[flow]


def _make_room(entries, limit):
    """Drop the oldest entry of a full table."""
    if len(entries) >= limit:
        del entries[next(iter(entries))]


@define
class ShareBudget:
    """Limits the pins that are told, by a token bucket."""

    left: float = MAX_BURST
    filled_ms: int = 0

    def take(self, now_ms: int) -> bool:
        """Take one; return False if none is left."""
        added = (now_ms - self.filled_ms) * SHARED_PER_S / MS_PER_S
        self.left = min(MAX_BURST, self.left + max(0.0, added))
        self.filled_ms = now_ms
        if self.left < 1:
            return False
        self.left -= 1
        return True


def find_pinned(state: ForwardingState, flow: bytes, now_ms: int) -> str:
    """Return the target that is known here to hold a flow, or ''."""
    known = state.flows.get(flow)
    if known is not None and known.phase is Phase.OPEN and known.is_proven:
        return known.target
    return state.pins.find(flow, now_ms)
