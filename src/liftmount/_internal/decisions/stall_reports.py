"""Stall reports: outlier ejection of targets, agreed between balancers.

Each balancer sees a small part of a service's requests; if each had to
detect a stalled target by itself, the target would cost one request for
each balancer.  So a stall is reported to a few members, which forward the
report.  A single source is not enough, as its own link or processor may be
at fault.  Once QUORUM sources have seen a target stall, it is ejected: it
gets no new flows for a time that grows with repeated ejections.  Open flows
stay where they are.
"""

from zlib import crc32

from attrs import define
from attrs import Factory

from liftmount._internal.models.peer_messages import StallReport
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick

# Sources that must have seen a target stall.
QUORUM = 2
# Older reports are neither counted nor forwarded: the stall may be over.
MAX_REPORT_AGE_MS = 1_500
# Ejection time, doubled up to the maximum when the target stalls again within
# REPEAT_WINDOW_MS; each member extends it by up to the same time.
FIRST_EJECTION_MS = 2_000
MAX_EJECTION_MS = 8_000
REPEAT_WINDOW_MS = 4_000
# Members to which each member forwards a report.
# With four, all but some 2 % of the members receive it.
FANOUT = 4
# Limit on the reports that a member sends, to FANOUT peers each.
# At less than 100 bytes each they stay within the budget of control traffic.
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
    """A stall report of a member, ``doubt``, was received."""

    doubt: StallReport
    now_ms: int


@message
class SendStallReport(Message):
    """Send a stall report, ``doubt``, to ``peers``."""

    doubt: StallReport
    peers: tuple[str, ...]


@message
class EjectTarget(Message):
    """Give a target no new flows until ``until_ms``.

    ``sources`` names the members that saw it stall.
    """

    target: str
    until_ms: int
    sources: tuple[str, ...]


@define
class _Target:
    """Reports on a target, and its last ejection.

    ``seen_ms`` maps sources to the time at which they saw it stall,
    ``numbers`` to the number of their last report.  The target is ejected
    from ``since_ms`` to ``until_ms``; ``ejection_ms`` is the base time of
    that ejection, 0 before the first one.
    """

    seen_ms: dict[str, int] = Factory(dict)
    numbers: dict[str, int] = Factory(dict)
    since_ms: int = 0
    until_ms: int = 0
    ejection_ms: int = 0


@define
class StallReportState:
    """Stall reports received and sent by the member ``name``.

    ``peers`` names the live members; ``turn`` varies those chosen.  ``told``
    counts the reports sent against the rate limit, as of ``told_ms``.
    """

    name: str
    peers: tuple[str, ...] = ()
    targets: dict[str, _Target] = Factory(dict)
    turn: int = 0
    told: float = 0.0
    told_ms: int = 0


def decide(state: StallReportState, event) -> list:
    """Return the reports to send and the targets to eject."""
    match event:
        case StallSeen(target, waited_ms, now_ms):
            # The time serves as the report's number, which has to grow.
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
    # A request from before the ejection says nothing about the time after.
    if target.ejection_ms and seen_ms - report.waited_ms <= target.since_ms:
        return []
    # A delayed or repeated report must not count as another stall.
    if report.number <= target.numbers.get(report.source, -1):
        return []
    target.numbers[report.source] = report.number
    known_ms = target.seen_ms.get(report.source)
    if known_ms is not None and seen_ms - known_ms < MAX_REPORT_AGE_MS:
        return []
    target.seen_ms[report.source] = seen_ms
    actions = _forward_report(state, report, now_ms)
    return [*actions, *_eject_if_confirmed(state, target, report, now_ms)]


def _forward_report(state, report, now_ms):
    """Forward a report to a few peers, within the rate limit."""
    elapsed_ms = now_ms - state.told_ms
    state.told_ms = now_ms
    earned = elapsed_ms * REPORTS_PER_S / MS_PER_S
    state.told = max(0.0, state.told - earned)
    if not state.peers or state.told > REPORTS_PER_S - 1:
        return []
    state.told += 1
    return [SendStallReport(report, _choose_peers(state))]


def _choose_peers(state):
    """Return FANOUT peers that differ by member and by report."""
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
    # Members use the target again one after the other, so that the first ones
    # detect another stall for all.
    share = crc32(f'{state.name} {report.target}'.encode()) / CRC_MAX
    target.until_ms = now_ms + round(target.ejection_ms * (1 + share))
    target.seen_ms.clear()
    return [EjectTarget(report.target, target.until_ms, tuple(fresh))]


def _drop_expired(state, now_ms):
    """Drop targets without a recent report or ejection."""
    for name, one in list(state.targets.items()):
        newest_ms = max(one.seen_ms.values(), default=one.until_ms)
        if now_ms - max(newest_ms, one.until_ms) > REPEAT_WINDOW_MS:
            del state.targets[name]
    return []
