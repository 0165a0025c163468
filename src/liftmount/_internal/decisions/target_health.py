"""Whether targets can be reached, judged by what clients send.

A balancer sees only the client's half of a flow.  An opening segment that
nothing follows, or data sent again with no acknowledgement since, speaks
against the target; so does a lost packet or a full target.  Such evidence
only starts probes.  A probe is a connection to the target's health check
over the same links.  Several are sent one soon after the other; a target
is dead when none of them gets an answer, and alive at any answer.  A dead
target is probed again at growing intervals.

While the own link is busy, silence is no proof.  A target that is silent
then is suspected: it gets new flows only when there is no other, keeps the
ones it has, and is probed on until it answers or is proven dead over a link
that is free.
"""

from enum import Enum

from attrs import define
from attrs import Factory

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick

# Silent probes that make a target dead.  On a link that loses 3 % of the
# packets each way, four are lost once in 80,000 times.
PROBES_TO_DEAD = 4
# Time between these probes: a verdict takes 60 ms more than one probe, and
# a target that lives has mostly answered before a second one is sent.
PROBE_GAP_MS = 20
# How long a flow must have waited to speak against a target while the own
# link is busy: clients send again after 200 ms what waited there.
BUSY_LINK_MIN_WAIT_MS = 250
# Intervals between probes of a suspected target while the link is busy.
INITIAL_SUSPECT_INTERVAL_MS = 250
MAX_SUSPECT_INTERVAL_MS = 1_000
# Intervals between probes of a dead target; a probe costs as much as a
# tenth of a request, an outage lasts some seconds.
INITIAL_DEAD_INTERVAL_MS = 700
MAX_DEAD_INTERVAL_MS = 2_500
# How long a silent probe proves that a target is dead, where a flow would
# be reset for it.  A cut that heals makes an older proof wrong; the next
# probe of the target takes 100 ms, a client sends again after 200 ms.
PROOF_VALID_MS = 700
# A target that gave a sign of life this recently is not probed: silence
# towards one flow is then a lost packet or a full target.
RECENT_ACTIVITY_MS = 30
# How long an answered probe speaks for a target, at first and at most; it
# doubles while flows go on to speak against it.  A target that is slow under
# load is not dead, and probes are load.
INITIAL_TRUST_MS = 300
MAX_TRUST_MS = 2_400


class Condition(Enum):
    """What is believed of a target."""

    ALIVE = 'alive'
    PROBED = 'probed'
    SUSPECTED = 'suspected'
    DEAD = 'dead'


class ProbeResult(Enum):
    """How a probe ended.

    ``REPLACED`` means that another target answered at the address, and
    ``REFUSED`` that nobody listens there.  ``UNPROVEN`` is either of what
    follows: silence while the own link was busy, or a refusal by a target
    that may be finishing what it has.  ``VOID`` means that this balancer was
    held up itself, so that silence says nothing.
    """

    ANSWERED = 'answered'
    REPLACED = 'replaced'
    SILENT = 'silent'
    REFUSED = 'refused'
    UNPROVEN = 'unproven'
    VOID = 'void'


class EvidenceKind(Enum):
    """What speaks against a target.

    ``OPENING`` had no answer in time, ``DATA`` was sent again, and
    ``RETURN`` is new data for a target that was found dead a while ago.
    """

    OPENING = 'opening'
    DATA = 'data'
    RETURN = 'return'


@message
class TargetUnresponsive(Message):
    """A flow gave evidence that a target does not answer.

    ``for_ms`` is how long the flow has waited.
    """

    target: str
    now_ms: int
    sign: EvidenceKind = EvidenceKind.DATA
    flow: bytes = b''
    for_ms: int = 0


@message
class TargetResponsive(Message):
    """A flow showed that a target answers."""

    target: str
    now_ms: int


@message
class SendProbe(Message):
    """Probe a target; ``sent_ms`` is when that was decided."""

    target: str
    sent_ms: int


@message
class LinkStateChanged(Message):
    """Whether the own link is busy."""

    is_busy: bool


@message
class ProbeEnded(Message):
    """A probe of a target ended that was sent at ``sent_ms``."""

    target: str
    result: ProbeResult
    sent_ms: int
    now_ms: int


@message
class ConditionChanged(Message):
    """The belief about a target changed; ``probes`` led to it.

    One that is neither dead nor suspected is alive.
    """

    target: str
    is_dead: bool
    probes: int
    is_suspected: bool = False


@define
class _Health:
    """What is known of one target.

    ``probing_since_ms`` is when the last doubt began, ``unanswered_probes`` counts
    those sent since that got no answer, ``proofs`` those of them over a free
    link, ``in_flight`` those that have not ended.  ``sent_ms`` and
    ``last_proof_ms`` are when the last one was sent and when the last silent one
    ended.  Until ``trusted_ms`` it is not doubted, after an answer that
    spoke for it for ``trust_ms``.
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
    """Evidence on the targets that some flow spoke against.

    ``unhealthy`` are those that are not believed alive: only they need a
    look at each tick.  ``is_link_busy`` tells whether silence may be that of
    the own link.
    """

    targets: dict[str, _Health] = Factory(dict)
    dead: set[str] = Factory(set)
    suspected: set[str] = Factory(set)
    unhealthy: set[str] = Factory(set)
    is_link_busy: bool = False

    def is_dead(self, target: str) -> bool:
        """Tell whether a target is believed dead."""
        return target in self.dead

    def is_avoided(self, target: str) -> bool:
        """Tell whether new flows should rather go elsewhere."""
        return target in self.dead or target in self.suspected

    def is_proven_dead(self, target: str, now_ms: int) -> bool:
        """Tell whether a target is dead, and was found so of late."""
        if target not in self.dead:
            return False
        return now_ms - self.targets[target].last_proof_ms <= PROOF_VALID_MS

    def forget(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self.targets.pop(target, None)
        self.dead.discard(target)
        self.suspected.discard(target)
        self.unhealthy.discard(target)


def decide(state: TargetHealth, event) -> list:
    """Return the actions for an event."""
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
    """Avoid a target that is silent, until there is proof."""
    health.condition = Condition.SUSPECTED
    health.retry_ms = INITIAL_SUSPECT_INTERVAL_MS
    health.next_probe_ms = event.now_ms + health.retry_ms
    state.suspected.add(event.target)
    return [
        ConditionChanged(event.target, False, health.unanswered_probes, True)
    ]


def _schedule_suspect_probe(health, is_proof, now_ms):
    """Go on at once while there is proof, else ever later."""
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
    # What is still under way of a target that was replaced tells nothing.
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
    """Tell whether another probe of a doubted or dead target is due."""
    if health.condition is not Condition.PROBED:
        return not health.in_flight and now_ms >= health.next_probe_ms
    if is_link_busy and health.in_flight:
        # More of them would wait behind it.
        return False
    sent = health.unanswered_probes + health.in_flight
    is_spaced = now_ms - health.sent_ms >= PROBE_GAP_MS
    return sent < PROBES_TO_DEAD and is_spaced
