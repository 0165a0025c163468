"""Whether targets can be reached, judged by what clients send.

A balancer sees only the client's half of a flow.  An opening segment that
nothing follows, or data sent again with no acknowledgement since, speaks
against the target; so does a lost packet or a full target.  Such evidence
only starts a probe.  A probe is a connection to the target's health check
over the same links; a target is dead when several in a row get no answer
at all, and alive at any answer.  A dead target is probed again at growing
intervals.
"""

from enum import Enum

from attrs import define
from attrs import Factory

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.ticks import Tick

# Silent probes in a row that make a target dead.  On a link that loses 3 %
# of the packets each way, three in a row are lost once in 5,000 times.
PROBES_TO_DEAD = 3
# Intervals between probes of a dead target; a probe costs as much as a
# tenth of a request, an outage lasts some seconds.
FIRST_RETRY_MS = 700
LONGEST_RETRY_MS = 2_500
# How long a silent probe proves that a target is dead, where a flow would
# be reset for it.  A cut that heals makes an older proof wrong; the next
# probe of the target takes 150 ms, a client sends again after 200 ms.
PROOF_MS = 700
# A target that gave a sign of life this recently is not probed: silence
# towards one flow is then a lost packet or a full target.
LIFE_MS = 30


class Condition(Enum):
    """What is believed of a target."""

    ALIVE = 'alive'
    PROBED = 'probed'
    DEAD = 'dead'


class ProbeResult(Enum):
    """How a probe ended.

    ``REPLACED`` means that another target answered at the address, and
    ``VOID`` that this balancer was held up itself, so that silence says
    nothing.
    """

    ANSWERED = 'answered'
    REPLACED = 'replaced'
    SILENT = 'silent'
    VOID = 'void'


@message
class TargetSilent(Message):
    """A flow gave evidence that a target does not answer."""

    target: str
    now_ms: int


@message
class TargetSeen(Message):
    """A flow showed that a target answers."""

    target: str
    now_ms: int


@message
class ProbeEnded(Message):
    """A probe of a target ended."""

    target: str
    result: ProbeResult
    now_ms: int


@message
class SendProbe(Message):
    """Probe a target."""

    target: str


@message
class TargetJudged(Message):
    """The belief about a target changed; ``probes`` led to it."""

    target: str
    is_dead: bool
    probes: int


@define
class _Health:
    condition: Condition = Condition.ALIVE
    silent_probes: int = 0
    probed_ms: int = 0
    seen_ms: int = 0
    is_probing: bool = False
    retry_ms: int = 0
    next_probe_ms: int = 0


@define
class TargetHealth:
    """Evidence on the targets that some flow spoke against.

    ``waiting`` are those that are not believed alive: only they need a
    look at each tick.
    """

    targets: dict[str, _Health] = Factory(dict)
    dead: set[str] = Factory(set)
    waiting: set[str] = Factory(set)

    def is_dead(self, target: str) -> bool:
        """Tell whether a target is believed dead."""
        return target in self.dead

    def is_proven_dead(self, target: str, now_ms: int) -> bool:
        """Tell whether a target is dead, and was found so of late."""
        if target not in self.dead:
            return False
        return now_ms - self.targets[target].probed_ms <= PROOF_MS

    def forget(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self.targets.pop(target, None)
        self.dead.discard(target)
        self.waiting.discard(target)


def decide(state: TargetHealth, event) -> list:
    """Return the actions for an event."""
    match event:
        case TargetSilent():
            return _silent(state, event)
        case TargetSeen():
            return _seen(state, event)
        case ProbeEnded():
            return _probed(state, event)
        case Tick():
            return _tick(state, event.now_ms)
    raise TypeError(f'unknown event {event!r}')


def _silent(state, event):
    health = state.targets.setdefault(event.target, _Health())
    if health.is_probing or health.condition is Condition.PROBED:
        return []
    if health.condition is Condition.DEAD:
        return _prove_again(health, event)
    if event.now_ms - health.seen_ms <= LIFE_MS:
        return []
    health.condition = Condition.PROBED
    state.waiting.add(event.target)
    return _probe(health, event.target)


def _prove_again(health, event):
    if event.now_ms - health.probed_ms <= PROOF_MS:
        return []
    return _probe(health, event.target)


def _seen(state, event):
    health = state.targets.get(event.target)
    if health is None:
        return []
    health.seen_ms = event.now_ms
    return _alive(state, event.target, health)


def _alive(state, target, health):
    was_dead = health.condition is Condition.DEAD
    health.condition = Condition.ALIVE
    probes = health.silent_probes
    health.silent_probes = 0
    state.dead.discard(target)
    state.waiting.discard(target)
    return [TargetJudged(target, False, probes)] if was_dead else []


def _probed(state, event):
    health = state.targets.get(event.target)
    if health is None:
        return []
    health.is_probing = False
    if event.result is ProbeResult.ANSWERED:
        health.seen_ms = event.now_ms
        return _alive(state, event.target, health)
    if health.condition is Condition.ALIVE:
        return []
    if event.result is ProbeResult.VOID:
        health.next_probe_ms = event.now_ms
        return []
    health.silent_probes += 1
    health.probed_ms = event.now_ms
    if health.condition is Condition.DEAD:
        health.retry_ms = min(2 * health.retry_ms, LONGEST_RETRY_MS)
        health.next_probe_ms = event.now_ms + health.retry_ms
        return []
    is_replaced = event.result is ProbeResult.REPLACED
    if health.silent_probes < PROBES_TO_DEAD and not is_replaced:
        return _probe(health, event.target)
    health.condition = Condition.DEAD
    health.retry_ms = FIRST_RETRY_MS
    health.next_probe_ms = event.now_ms + health.retry_ms
    state.dead.add(event.target)
    return [TargetJudged(event.target, True, health.silent_probes)]


def _probe(health, target):
    health.is_probing = True
    return [SendProbe(target)]


def _tick(state, now_ms):
    actions = []
    for target in state.waiting:
        health = state.targets[target]
        is_due = now_ms >= health.next_probe_ms
        if is_due and not health.is_probing:
            actions += _probe(health, target)
    return actions
