"""Health of targets, from passive evidence and active probes.

A balancer sees only the client's half of a flow. An opening that no segment
follows, or retransmitted data without a new acknowledgement, may mean that
the target is dead, but also a lost packet or an overloaded target. Such
evidence only starts probes. A probe is a connection to the target's health
check over the same links. Several are sent in short succession: a target is
dead if none of them is answered, and alive at any answer. A dead target is
probed again with exponential backoff.

A probe that times out while the local link is busy proves nothing. The
target is suspected then: it keeps its flows, gets new ones only if there is
no other target, and is probed until it answers or is proven dead over a
free link.
"""

from enum import Enum

from attrs import define
from attrs import Factory

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick

# Unanswered probes after which a target is dead; packet loss alone must not
# cause that.
PROBES_TO_DEAD = 4
# Interval between these probes; a live target mostly answers within it.
PROBE_GAP_MS = 20
# How long a flow must have waited to count as evidence while the local link
# is busy; covers one retransmission of a client (200 ms).
BUSY_LINK_MIN_WAIT_MS = 250
# Backoff between probes of a suspected target while the link is busy.
INITIAL_SUSPECT_INTERVAL_MS = 250
MAX_SUSPECT_INTERVAL_MS = 1_000
# Backoff between probes of a dead target.
# An outage lasts some seconds; a probe costs a tenth of a request.
INITIAL_DEAD_INTERVAL_MS = 700
MAX_DEAD_INTERVAL_MS = 2_500
# How long an unanswered probe proves that a target is dead when a flow would
# be reset; the target or a network partition may have recovered since.
# A new probe takes at most 100 ms, less than a client's retransmission timeout
# (200 ms).
PROOF_VALID_MS = 700
# A target that answered another flow this recently is not probed: a missing
# answer then means a lost packet or an overloaded target.
RECENT_ACTIVITY_MS = 30
# How long a target isn't probed again after an answered probe. Doubles while
# flows still yield evidence, so that a slow target isn't loaded by probes.
INITIAL_TRUST_MS = 300
MAX_TRUST_MS = 2_400


class Condition(Enum):
    """Health state of a target."""

    ALIVE = 'alive'
    PROBED = 'probed'
    SUSPECTED = 'suspected'
    DEAD = 'dead'


class ProbeResult(Enum):
    """How a probe ended.

    ``SILENT`` is a timeout. ``REPLACED`` means that another target answered
    at the address, ``REFUSED`` that the connection was refused. ``UNPROVEN``
    is a timeout while the local link was busy, or a refusal by a target that
    may be draining. ``VOID`` means that this balancer was delayed itself, so
    that the result is no evidence.
    """

    ANSWERED = 'answered'
    REPLACED = 'replaced'
    SILENT = 'silent'
    REFUSED = 'refused'
    UNPROVEN = 'unproven'
    VOID = 'void'


class EvidenceKind(Enum):
    """Kind of evidence that a target doesn't respond.

    ``OPENING`` is an opening without an answer, ``DATA`` a retransmission,
    and ``RETURN`` new data for a target whose proof of death has expired.
    """

    OPENING = 'opening'
    DATA = 'data'
    RETURN = 'return'


@message
class TargetUnresponsive(Message):
    """A flow yielded evidence that a target doesn't respond.

    ``for_ms`` is how long the flow has waited.
    """

    target: str
    now_ms: int
    sign: EvidenceKind = EvidenceKind.DATA
    flow: bytes = b''
    for_ms: int = 0


@message
class TargetResponsive(Message):
    """A flow yielded evidence that a target responds."""

    target: str
    now_ms: int


@message
class SendProbe(Message):
    """Probe a target; ``sent_ms`` is the time of this decision."""

    target: str
    sent_ms: int


@message
class LinkStateChanged(Message):
    """The local link became busy or free."""

    is_busy: bool


@message
class ProbeEnded(Message):
    """A probe of a target, sent at ``sent_ms``, ended."""

    target: str
    result: ProbeResult
    sent_ms: int
    now_ms: int


@message
class ConditionChanged(Message):
    """The health of a target changed after ``probes`` unanswered probes.

    A target that is neither dead nor suspected is alive.
    """

    target: str
    is_dead: bool
    probes: int
    is_suspected: bool = False


@define
class _Health:
    """Health of one target.

    ``probing_since_ms`` is the start of the current series of probes:
    ``unanswered_probes`` of them ended without an answer, ``proofs`` of these
    over a free link, and ``in_flight`` have not ended. ``sent_ms`` is when
    the last one was sent, ``last_proof_ms`` when the last proof ended.
    Until ``trusted_ms`` evidence is ignored, after an answered probe that
    gained trust for ``trust_ms``.
    """

    condition: Condition = Condition.ALIVE
    probing_since_ms: int = 0
    unanswered_probes: int = 0
    proofs: int = 0
    in_flight: int = 0
    sent_ms: int = 0
    last_proof_ms: int = 0
    seen_ms: int = 0
    trusted_ms: int = 0
    trust_ms: int = 0
    retry_ms: int = 0
    next_probe_ms: int = 0


@define
class TargetHealth:
    """Health of the targets for which there has been evidence.

    ``unhealthy`` holds the targets that are not ALIVE; only these are
    checked at a tick. ``is_link_busy`` tells whether missing answers may be
    due to the local link.
    """

    targets: dict[str, _Health] = Factory(dict)
    dead: set[str] = Factory(set)
    suspected: set[str] = Factory(set)
    unhealthy: set[str] = Factory(set)
    is_link_busy: bool = False

    def is_dead(self, target: str) -> bool:
        """Return whether a target is considered dead."""
        return target in self.dead

    def is_avoided(self, target: str) -> bool:
        """Return whether new flows should avoid a target."""
        return target in self.dead or target in self.suspected

    def is_proven_dead(self, target: str, now_ms: int) -> bool:
        """Return whether a target is dead by a recent proof."""
        if target not in self.dead:
            return False
        return now_ms - self.targets[target].last_proof_ms <= PROOF_VALID_MS

    def forget(self, target: str) -> None:
        """Remove the state of a target."""
        self.targets.pop(target, None)
        self.dead.discard(target)
        self.suspected.discard(target)
        self.unhealthy.discard(target)


def decide(state: TargetHealth, event) -> list:
    """Return the actions for an event.

    Raises TypeError for an unknown event.
    """
    match event:
        case TargetUnresponsive():
            return _handle_unresponsive(state, event)
        case TargetResponsive():
            return _handle_responsive(state, event)
        case ProbeEnded():
            return _handle_probe_end(state, event)
        case LinkStateChanged():
            state.is_link_busy = event.is_busy
            return []
        case Tick():
            return _tick(state, event.now_ms)
    raise TypeError(f'unknown event {event!r}')


def _handle_unresponsive(state, event):
    if state.is_link_busy and event.for_ms < BUSY_LINK_MIN_WAIT_MS:
        return []
    health = state.targets.setdefault(event.target, _Health())
    match health.condition:
        case Condition.PROBED | Condition.SUSPECTED:
            return []
        case Condition.DEAD:
            return _reprobe_dead(health, event)
    if event.now_ms <= max(
        health.seen_ms + RECENT_ACTIVITY_MS, health.trusted_ms
    ):
        return []
    health.condition = Condition.PROBED
    health.probing_since_ms = event.now_ms
    health.unanswered_probes = 0
    health.proofs = 0
    health.in_flight = 0
    state.unhealthy.add(event.target)
    return _send_probe(health, event.target, event.now_ms)


def _reprobe_dead(health, event):
    if (
        health.in_flight
        or event.now_ms - health.last_proof_ms <= PROOF_VALID_MS
    ):
        return []
    return _send_probe(health, event.target, event.now_ms)


def _handle_responsive(state, event):
    health = state.targets.get(event.target)
    if health is None:
        return []
    health.seen_ms = event.now_ms
    health.trust_ms = 0
    return _mark_alive(state, event.target, health)


def _mark_alive(state, target, health):
    was_avoided = state.is_avoided(target)
    health.condition = Condition.ALIVE
    state.dead.discard(target)
    state.suspected.discard(target)
    state.unhealthy.discard(target)
    if not was_avoided:
        return []
    return [ConditionChanged(target, False, health.unanswered_probes)]


def _handle_probe_end(state, event):
    health = state.targets.get(event.target)
    if health is None:
        return []
    if event.result is ProbeResult.ANSWERED:
        _extend_trust(health, event.now_ms)
        return _mark_alive(state, event.target, health)
    is_late = event.sent_ms < health.probing_since_ms
    if health.condition is Condition.ALIVE or is_late:
        return []
    health.in_flight -= 1
    if event.result is ProbeResult.VOID:
        health.next_probe_ms = event.now_ms
        return []
    health.unanswered_probes += 1
    is_proof = event.result is not ProbeResult.UNPROVEN
    if is_proof:
        health.proofs += 1
        health.last_proof_ms = event.now_ms
    if health.condition is Condition.DEAD:
        health.retry_ms = min(2 * health.retry_ms, MAX_DEAD_INTERVAL_MS)
        health.next_probe_ms = event.now_ms + health.retry_ms
        return []
    is_replaced = event.result is ProbeResult.REPLACED
    if health.proofs >= PROBES_TO_DEAD or is_replaced:
        return _mark_dead(state, event, health)
    if health.condition is Condition.SUSPECTED:
        _schedule_suspect_probe(health, is_proof, event.now_ms)
        return []
    return [] if is_proof else _mark_suspected(state, event, health)


def _mark_suspected(state, event, health):
    """Mark a target suspected until there is proof."""
    health.condition = Condition.SUSPECTED
    health.retry_ms = INITIAL_SUSPECT_INTERVAL_MS
    health.next_probe_ms = event.now_ms + health.retry_ms
    state.suspected.add(event.target)
    return [
        ConditionChanged(event.target, False, health.unanswered_probes, True)
    ]


def _schedule_suspect_probe(health, is_proof, now_ms):
    """Schedule the next probe: soon after a proof, else with backoff."""
    interval_ms = PROBE_GAP_MS
    if not is_proof:
        health.retry_ms = min(2 * health.retry_ms, MAX_SUSPECT_INTERVAL_MS)
        interval_ms = health.retry_ms
    health.next_probe_ms = now_ms + interval_ms


def _extend_trust(health, now_ms):
    doubled_ms = max(INITIAL_TRUST_MS, 2 * health.trust_ms)
    health.trust_ms = min(doubled_ms, MAX_TRUST_MS)
    health.trusted_ms = now_ms + health.trust_ms


def _mark_dead(state, event, health):
    health.condition = Condition.DEAD
    health.in_flight = 0
    health.retry_ms = INITIAL_DEAD_INTERVAL_MS
    health.next_probe_ms = event.now_ms + health.retry_ms
    # Ignore the results of probes that are still in flight.
    health.probing_since_ms = event.now_ms
    state.suspected.discard(event.target)
    state.dead.add(event.target)
    return [ConditionChanged(event.target, True, health.unanswered_probes)]


def _send_probe(health, target, now_ms):
    health.in_flight += 1
    health.sent_ms = now_ms
    return [SendProbe(target, now_ms)]


def _tick(state, now_ms):
    actions = []
    for target in state.unhealthy:
        health = state.targets[target]
        if _is_due(health, state.is_link_busy, now_ms):
            actions += _send_probe(health, target, now_ms)
    return actions


def _is_due(health, is_link_busy, now_ms):
    """Return whether another probe of an unhealthy target is due."""
    if health.condition is not Condition.PROBED:
        return not health.in_flight and now_ms >= health.next_probe_ms
    if is_link_busy and health.in_flight:
        # Further probes would queue behind it on the link.
        return False
    sent = health.unanswered_probes + health.in_flight
    is_spaced = now_ms - health.sent_ms >= PROBE_GAP_MS
    return sent < PROBES_TO_DEAD and is_spaced
