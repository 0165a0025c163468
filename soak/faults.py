"""The faults that a soak brings about, and the draw of a seed's plan."""

import random

from attrs import evolve
from attrs import frozen

from soak.deployment import DOMAINS
from soak.proxy import Harm

# Faults begin after the start has settled and leave time to recover.
FIRST_FAULT_MS = 3_000
# Bounds of how long a fault lasts: shorter than the contact time of the
# rules (4 s) as well as longer.
MIN_FAULT_MS = 600
MAX_FAULT_MS = 5_000
# Parts of all faults that come in series of two or three.
SERIES_SHARE = 0.25
SERIES_GAP_MS = 900
# Evacuations of a seed, and how long each lasts: longer than its bound.
MAX_EVACUATIONS = 2
EVACUATION_RANGE_MS = (4_000, 9_000)
# Restarts of targets of a seed, and how long each takes.
MAX_RESTARTS = 3
RESTART_RANGE_MS = (300, 2_000)
# Forms that a foreign entry may have, see strikes.py.
FOREIGN_ENTRY_FORMS = 4
# How much longer than it must a target that leaves serves on.
LINGER_CHOICES_MS = (1_500, 4_000, 7_000)


@frozen
class Fault:
    """Something that happens ``at_ms`` after the start of traffic."""

    at_ms: int


@frozen
class BalancerFault(Fault):
    """Something that happens to one balancer."""

    balancer: int


@frozen
class TargetFault(Fault):
    """Something that happens to one target."""

    target: int


@frozen
class BalancerKilled(BalancerFault):
    """SIGKILL; started again ``down_ms`` later."""

    down_ms: int


@frozen
class BalancerStopped(BalancerFault):
    """SIGTERM; started again ``down_ms`` after its end."""

    down_ms: int


@frozen
class BalancerPaused(BalancerFault):
    """SIGSTOP, and SIGCONT ``for_ms`` later."""

    for_ms: int


@frozen
class SettingsChanged(BalancerFault):
    """Another settings file, with SIGHUP or without, good or not."""

    is_good: bool
    is_signalled: bool


@frozen
class AllKilled(Fault):
    """SIGKILL to all balancers of a domain, or of all if it is empty."""

    domain: str
    down_ms: int


@frozen
class StoreLinkHarmed(BalancerFault):
    """The way from one balancer to the store is harmed."""

    harm: Harm
    for_ms: int


@frozen
class StoreTroubled(Fault):
    """The store itself fails; see ``stand_ins.store.TROUBLES``."""

    trouble: str
    for_ms: int


@frozen
class HistoryForgotten(Fault):
    """The store forgets what changed until now."""


@frozen
class EntriesLapsed(Fault):
    """Entries of live targets go while the store is away."""

    for_ms: int


@frozen
class TargetLinkHarmed(TargetFault):
    """The way from all balancers to one target is harmed."""

    harm: Harm
    for_ms: int


@frozen
class TargetCrashed(TargetFault):
    """A target forgets its flows; another starts ``down_ms`` later.

    With ``is_reused`` a target of the other service gets its address.
    """

    down_ms: int
    is_reused: bool


@frozen
class TargetReplaced(TargetFault):
    """A target drains and ends; another starts first.

    With ``is_silent`` it never says that it drains: its entry goes.  It
    serves on for ``linger_ms`` longer than it must.
    """

    is_silent: bool
    linger_ms: int = 1_500


@frozen
class TargetSlowed(TargetFault):
    """A target takes ``factor`` times as long for ``for_ms``."""

    factor: float
    for_ms: int


@frozen
class TargetRestarted(TargetFault):
    """A target forgets its flows, and starts again under its name."""

    down_ms: int


@frozen
class ForeignEntry(Fault):
    """Somebody else writes an entry that names no target."""

    form: int


@frozen
class RoutesChanged(Fault):
    """A configuration adds a route or drops the last that was added."""

    is_added: bool


@frozen
class DomainEvacuated(Fault):
    """An operator evacuates a failure domain, and takes it back."""

    domain: str
    for_ms: int


def _draw_harm(draw):
    return draw.choice(list(Harm)[1:])


def _draw_fault(draw, at_ms, balancers, targets):
    """Draw one fault; what is worse comes more seldom."""
    for_ms = draw.randint(MIN_FAULT_MS, MAX_FAULT_MS)
    balancer = draw.randrange(balancers)
    target = draw.randrange(targets)
    makers = {
        'kill': lambda: BalancerKilled(at_ms, balancer, for_ms // 2),
        'stop': lambda: BalancerStopped(at_ms, balancer, for_ms // 4),
        'pause': lambda: BalancerPaused(at_ms, balancer, for_ms),
        'settings': lambda: SettingsChanged(
            at_ms, balancer, draw.random() < 0.6, draw.random() < 0.7
        ),
        'all': lambda: AllKilled(
            at_ms, draw.choice((*DOMAINS, '')), for_ms // 3
        ),
        'store link': lambda: StoreLinkHarmed(
            at_ms, balancer, _draw_harm(draw), for_ms
        ),
        'store': lambda: StoreTroubled(
            at_ms,
            draw.choice(
                (
                    'answers 503',
                    'answers 429',
                    'resets connections',
                    'says nothing',
                    'is slow',
                    'sends broken documents',
                    'loses answers',
                )
            ),
            for_ms,
        ),
        'history': lambda: HistoryForgotten(at_ms),
        'lapse': lambda: EntriesLapsed(at_ms, for_ms),
        'target link': lambda: TargetLinkHarmed(
            at_ms, target, _draw_harm(draw), for_ms
        ),
        'crash': lambda: TargetCrashed(
            at_ms, target, for_ms, draw.random() < 0.4
        ),
        'replace': lambda: TargetReplaced(
            at_ms, target, draw.random() < 0.4, LINGER_CHOICES_MS[at_ms % 3]
        ),
        'slow': lambda: TargetSlowed(
            at_ms, target, draw.uniform(2.0, 6.0), for_ms
        ),
        'routes': lambda: RoutesChanged(at_ms, draw.random() < 0.7),
    }
    weights = {'all': 1, 'routes': 5, 'replace': 5, 'stop': 4}
    kinds = list(makers)
    chosen = draw.choices(kinds, [weights.get(one, 3) for one in kinds])[0]
    return makers[chosen]()


def draw_plan(seed: int, length_ms: int, balancers: int, targets: int):
    """Return the faults of a seed in the order in which they come.

    One fault comes every 1.5 s on average; some come in series.
    """
    draw = random.Random(seed)
    faults = []
    count = max(1, (length_ms - FIRST_FAULT_MS) // 1_500)
    while len(faults) < count:
        at_ms = draw.randint(FIRST_FAULT_MS, length_ms)
        fault = _draw_fault(draw, at_ms, balancers, targets)
        faults.append(fault)
        if draw.random() < SERIES_SHARE:
            for step in range(1, draw.randint(2, 3)):
                again_ms = at_ms + step * SERIES_GAP_MS
                faults.append(evolve(fault, at_ms=again_ms))
    return sorted(faults, key=lambda fault: fault.at_ms)


def draw_extra_faults(seed: int, length_ms: int, targets: int) -> list[Fault]:
    """Return restarts and foreign entries of a seed, beside its faults."""
    draw = random.Random(f'oddities of {seed}')

    def at_ms():
        return draw.randint(FIRST_FAULT_MS, length_ms)

    restarts = [
        TargetRestarted(
            at_ms(), draw.randrange(targets), draw.randint(*RESTART_RANGE_MS)
        )
        for _ in range(draw.randint(1, MAX_RESTARTS))
    ]
    foreign = [
        ForeignEntry(at_ms(), draw.randrange(FOREIGN_ENTRY_FORMS))
        for _ in range(FOREIGN_ENTRY_FORMS)
    ]
    return [*restarts, *foreign]


def draw_evacuations(seed: int, length_ms: int) -> list[DomainEvacuated]:
    """Return the evacuations of a seed, which come beside its faults."""
    draw = random.Random(f'evacuations of {seed}')
    return [
        DomainEvacuated(
            draw.randint(FIRST_FAULT_MS, length_ms),
            draw.choice(DOMAINS),
            draw.randint(*EVACUATION_RANGE_MS),
        )
        for _ in range(draw.randint(1, MAX_EVACUATIONS))
    ]
