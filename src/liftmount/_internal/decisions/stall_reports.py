"""What balancers tell each other of targets that give no answer.

Each of many balancers sees a small part of a service.  If each had to find
out for itself, a target that hangs would cost a request a balancer.  So a
stall is told at once to a few members, who tell it on.  One balancer convinces
nobody: its own link or processor may be at fault, or it may be wrong.  When
several have seen a target stall it gets no new flows for a while, which grows
while it goes on; then it is tried again.  Open flows stay where they are.
"""

from zlib import crc32

from attrs import define
from attrs import Factory

from liftmount._internal.models.peer_messages import StallReport
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick

# Balancers that must have seen a target stall.
QUORUM = 2
# How long what one has seen counts, and is told on: a stall that is older
# may be over.
MAX_REPORT_AGE_MS = 1_500
# For how long a target is held out at least, at first and at most; some
# members hold it out for up to twice as long.  It doubles when the target
# stalls again by REPEAT_WINDOW_MS after its return.
FIRST_EJECTION_MS = 2_000
MAX_EJECTION_MS = 8_000
REPEAT_WINDOW_MS = 4_000
# Members that each one tells: with four, all but some 2 % hear of it.
FANOUT = 4
# Stalls that one member tells and passes on a second, at some 100 bytes to
# each of FANOUT: within what control may cost.
REPORTS_PER_S = 5
MS_PER_S = 1_000
CRC_MAX = 2**32 - 1


@message
class StallSeen(Message):
    """This balancer saw a target stall."""

    target: str
    waited_ms: int
    now_ms: int


@message
class StallReportReceived(Message):
    """A member told of a stall."""

    doubt: StallReport
    now_ms: int


@message
class SendStallReport(Message):
    """Tell some members of a stall."""

    doubt: StallReport
    peers: tuple[str, ...]


@message
class EjectTarget(Message):
    """Give a target no new flows until then: ``sources`` saw it stall."""

    target: str
    until_ms: int
    sources: tuple[str, ...]


@define
class _Target:
    """Who saw a target stall, and when; since and until when it is held out.

    ``numbers`` are those of the last stalls that each source told, and
    ``ejection_ms`` is the length of the last hold, 0 before the first one.
    """

    seen_ms: dict[str, int] = Factory(dict)
    numbers: dict[str, int] = Factory(dict)
    since_ms: int = 0
    until_ms: int = 0
    ejection_ms: int = 0


@define
class StallReportState:
    """What is known of targets that stall, on a member of some name.

    ``peers`` are the live members; ``turn`` makes those who are told differ.
    ``told`` counts what was told of late, up to ``told_ms``.
    """

    name: str
    peers: tuple[str, ...] = ()
    targets: dict[str, _Target] = Factory(dict)
    turn: int = 0
    told: float = 0.0
    told_ms: int = 0


def decide(state: StallReportState, event) -> list:
    """Return whom to tell, and which targets to hold out."""
    match event:
        case StallSeen(target, waited_ms, now_ms):
            # Its time is a number that grows.
            report = StallReport(target, state.name, waited_ms, 0, now_ms)
            return _record_report(state, report, now_ms)
        case StallReportReceived(report, now_ms):
            if report.source == state.name:
                return []
            return _record_report(state, report, now_ms)
        case Tick(now_ms):
            return _drop_expired(state, now_ms)
    raise TypeError(f'unknown event {event!r}')


def _record_report(state, report, now_ms):
    seen_ms = now_ms - report.age_ms
    target = state.targets.setdefault(report.target, _Target())
    if report.age_ms > MAX_REPORT_AGE_MS:
        return []
    # What began before a hold says nothing of the time after it.
    if target.ejection_ms and seen_ms - report.waited_ms <= target.since_ms:
        return []
    # What waited on its way must not pass for another stall.
    if report.number <= target.numbers.get(report.source, -1):
        return []
    target.numbers[report.source] = report.number
    known_ms = target.seen_ms.get(report.source)
    if known_ms is not None and seen_ms - known_ms < MAX_REPORT_AGE_MS:
        return []
    target.seen_ms[report.source] = seen_ms
    told = _forward_report(state, report, now_ms)
    return [*told, *_eject_if_confirmed(state, target, report, now_ms)]


def _forward_report(state, report, now_ms):
    """Tell a few members, unless too much was told of late."""
    elapsed_ms = now_ms - state.told_ms
    state.told_ms = now_ms
    earned = elapsed_ms * REPORTS_PER_S / MS_PER_S
    state.told = max(0.0, state.told - earned)
    if not state.peers or state.told > REPORTS_PER_S - 1:
        return []
    state.told += 1
    return [SendStallReport(report, _choose_peers(state))]


def _choose_peers(state):
    """Return some peers, other ones each time and on each member."""
    state.turn += 1
    ranked = sorted(
        state.peers,
        key=lambda peer: crc32(f'{state.name} {state.turn} {peer}'.encode()),
    )
    return tuple(ranked[:FANOUT])


def _eject_if_confirmed(state, target, report, now_ms):
    fresh = [
        source
        for source, seen_ms in target.seen_ms.items()
        if now_ms - seen_ms <= MAX_REPORT_AGE_MS
    ]
    if len(fresh) < QUORUM:
        return []
    is_again = (
        now_ms - target.until_ms <= REPEAT_WINDOW_MS and target.ejection_ms
    )
    doubled_ms = 2 * target.ejection_ms if is_again else FIRST_EJECTION_MS
    target.ejection_ms = min(doubled_ms, MAX_EJECTION_MS)
    target.since_ms = now_ms
    # Members try it again one after the other: what the first ones see holds
    # it out for all.
    share = crc32(f'{state.name} {report.target}'.encode()) / CRC_MAX
    target.until_ms = now_ms + round(target.ejection_ms * (1 + share))
    target.seen_ms.clear()
    return [EjectTarget(report.target, target.until_ms, tuple(fresh))]


def _drop_expired(state, now_ms):
    """Drop targets that nobody has doubted of late."""
    for name, one in list(state.targets.items()):
        newest_ms = max(one.seen_ms.values(), default=one.until_ms)
        if now_ms - max(newest_ms, one.until_ms) > REPEAT_WINDOW_MS:
            del state.targets[name]
    return []
