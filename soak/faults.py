"""Faults of the soak test, and the random plan of a seed."""

import random

from attrs import evolve
from attrs import frozen

from soak.deployment import DOMAINS
from soak.proxy import Harm

# The first fault comes after the deployment has settled.
FIRST_FAULT_MS = 3_000
# Range of the duration of a fault; it includes ``promises.SETTLED_MS``.
MIN_FAULT_MS = 600
MAX_FAULT_MS = 5_000
# Share of faults that are repeated in a series.
SERIES_SHARE = 0.25
SERIES_GAP_MS = 900
# Each lasts longer than ``promises.EVACUATE_MS``.
MAX_EVACUATIONS = 2
EVACUATION_RANGE_MS = (4_000, 9_000)
MAX_RESTARTS = 3
RESTART_RANGE_MS = (300, 2_000)
MAX_SIGNALLED_STOPS = 2
# Shorter than the time between the event loop's end and the exit.
SIGNAL_GAP_RANGE_MS = (3, 12)
# Number of invalid forms that ``fault_injection`` can write.
FOREIGN_ENTRY_FORMS = 4
# Time that a leaving target keeps serving after its drain time.
LINGER_CHOICES_MS = (1_500, 4_000, 7_000)


@frozen
class Fault:
    """Base of all faults; one begins ``at_ms`` after the plan starts."""

    at_ms: int


@frozen
class BalancerFault(Fault):
    """Base of the faults of one balancer, by index."""

    balancer: int


@frozen
class TargetFault(Fault):
    """Base of the faults of one target, by index."""

    target: int


@frozen
class BalancerKilled(BalancerFault):
    """SIGKILL; the balancer starts again ``down_ms`` later."""

    down_ms: int


@frozen
class BalancerStopped(BalancerFault):
    """SIGTERM; the balancer starts again ``down_ms`` after its exit."""

    down_ms: int


@frozen
class BalancerStopSignalled(BalancerStopped):
    """A planned stop and the next start, with signals every ``gap_ms``.

    SIGHUP and SIGTERM come by turns until the exit, and SIGHUP as soon as
    the new process handles it.
    """

    gap_ms: int


@frozen
class BalancerPaused(BalancerFault):
    """SIGSTOP, and SIGCONT ``for_ms`` later."""

    for_ms: int


@frozen
class SettingsChanged(BalancerFault):
    """A new settings file, valid or not, with or without SIGHUP."""

    is_good: bool
    is_signalled: bool


@frozen
class AllKilled(Fault):
    """SIGKILL to all balancers of a domain; of all domains if empty."""

    domain: str
    down_ms: int


@frozen
class StoreLinkHarmed(BalancerFault):
    """The link from one balancer to the store fails."""

    harm: Harm
    for_ms: int


@frozen
class StoreTroubled(Fault):
    """The store fails; see ``stand_ins.store.Store.trouble``."""

    trouble: str
    for_ms: int


@frozen
class HistoryForgotten(Fault):
    """The store drops its history of changes."""


@frozen
class EntriesLapsed(Fault):
    """Entries of live targets expire while the store is unavailable."""

    for_ms: int


@frozen
class TargetLinkHarmed(TargetFault):
    """The link from all balancers to one target fails."""

    harm: Harm
    for_ms: int


@frozen
class TargetCrashed(TargetFault):
    """A target loses its flows; a new one starts ``down_ms`` later.

    With ``is_reused`` the new target, at the same address, is one of the
    other service.
    """

    down_ms: int
    is_reused: bool


@frozen
class TargetReplaced(TargetFault):
    """A target drains and ends; its replacement starts first.

    With ``is_silent`` its entry is removed instead of marked as draining.
    It keeps serving for ``linger_ms`` after the drain time.
    """

    is_silent: bool
    linger_ms: int = 1_500


@frozen
class TargetSlowed(TargetFault):
    """Requests at a target take ``factor`` times as long."""

    factor: float
    for_ms: int


@frozen
class TargetRestarted(TargetFault):
    """A target loses its flows and restarts under the same name."""

    down_ms: int


@frozen
class ForeignEntry(Fault):
    """An invalid target entry appears in the store."""

    form: int


@frozen
class RoutesChanged(Fault):
    """A configuration adds a route or removes the last one added."""

    is_added: bool


@frozen
class DomainEvacuated(Fault):
    """An operator evacuates a failure domain and ends the evacuation."""

    domain: str
    for_ms: int


def _draw_harm(draw):
    return draw.choice(list(Harm)[1:])


def _draw_fault(draw, at_ms, balancers, targets):
    """Draw one fault; the kinds have weights."""
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
    """Return the faults of a seed, sorted by time.

    The same arguments always return the same faults.
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
    """Return target restarts and foreign entries, added to the plan."""
    # This text and the one below seed the generators: a change of either
    # changes the faults of every seed.
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
    """Return the evacuations of a seed, added to the plan."""
    draw = random.Random(f'evacuations of {seed}')
    return [
        DomainEvacuated(
            draw.randint(FIRST_FAULT_MS, length_ms),
            draw.choice(DOMAINS),
            draw.randint(*EVACUATION_RANGE_MS),
        )
        for _ in range(draw.randint(1, MAX_EVACUATIONS))
    ]


def draw_signalled_stops(
    seed: int, length_ms: int, balancers: int
) -> list[BalancerStopSignalled]:
    """Return the stops with signals in series, added to the plan."""
    draw = random.Random(f'signalled stops of {seed}')
    return [
        BalancerStopSignalled(
            draw.randint(FIRST_FAULT_MS, length_ms),
            draw.randrange(balancers),
            draw.randint(*RESTART_RANGE_MS),
            draw.randint(*SIGNAL_GAP_RANGE_MS),
        )
        for _ in range(draw.randint(1, MAX_SIGNALLED_STOPS))
    ]
