"""Compare strategies to limit the rate of new flows to cold targets.

All balancers place flows by the real decisions, in simulated time.  The
targets of one failure domain, or all, become cold at once; each accepts a
stated rate.  ``./dev measure cold`` prints for each strategy the maximum of
flows that a cold target received in one second, the allowed maximum, the
share of the stated rate that was used, and the share of refused flows.
"""

import argparse
from collections import deque
import random
from zlib import crc32

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.decisions.pool import Pool
from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.decisions.slow_start import Fleet
from liftmount._internal.decisions.slow_start import MS_PER_S
from liftmount._internal.decisions.slow_start import RATE_SHARE
from liftmount._internal.decisions.slow_start import SlowStartBudget
from liftmount._internal.models.segments import WarmUp

DOMAINS = ('a', 'b', 'c')
TARGETS_PER_DOMAIN = 20
SLOTS = 2
FLOW_MS = 60
FLOWS_PER_TARGET_S = 8
COLD_AT_MS = 1_000
WARM_MS = 4_000
END_MS = 6_000
# Flows allowed in any second: the stated rate times a factor, plus a constant.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA_FLOWS = 5
# Shares of the stated rate in the strategies with an owner.
OWNER_SHARE = 0.5
OTHERS_SHARE = 0.4


class OwnerBudget(SlowStartBudget):
    """Let only the owner of a target send to it, at OWNER_SHARE of the rate.

    The owner is chosen by rendezvous hashing among the known members of the
    target's domain.
    """

    def __init__(self, warm_up, fleet, domain, members):
        super().__init__(warm_up, fleet)
        self.domain = domain
        self.members = members

    def owns(self, target):
        """Return whether this member is the owner of a target."""
        if not target.startswith(self.domain):
            return False
        seed = crc32(target.encode())
        owner = max(self.members, key=lambda one: crc32(one.encode(), seed))
        return owner == self.fleet.name

    def may_take(self, target, now_ms):
        """Return whether a new flow may go to a cold target now."""
        return self.owns(target) and now_ms >= self.next_ms.get(target, 0)

    def spend(self, target, now_ms):
        """Record a flow that was sent to a cold target."""
        gap_ms = MS_PER_S / (OWNER_SHARE * self.warm_up.per_s)
        self.next_ms[target] = now_ms + gap_ms


class BothBudget(OwnerBudget):
    """Let the owner send OWNER_SHARE, and all others share OTHERS_SHARE."""

    def may_take(self, target, now_ms):
        """Return whether a new flow may go to a cold target now."""
        if self.owns(target):
            return super().may_take(target, now_ms)
        return SlowStartBudget.may_take(self, target, now_ms)

    def spend(self, target, now_ms):
        """Record a flow that was sent to a cold target."""
        if self.owns(target):
            super().spend(target, now_ms)
        else:
            SlowStartBudget.spend(self, target, now_ms)

    def _gap_ms(self):
        return super()._gap_ms() * RATE_SHARE / OTHERS_SHARE


STRATEGIES = ('no limit', 'last choice', 'owner', 'both', 'share')
VIEWS = ('alike', 'differ', 'isolated')


@frozen
class Case:
    """Number of balancers, their membership views, and the stated rate.

    In ``differ`` each view lacks a random tenth of the domain's members; in
    ``isolated`` a third of the balancers have only themselves in their view.
    """

    strategy: str = 'share'
    balancers: int = 90
    per_s: float = 10.0
    views: str = 'alike'
    all_cold: bool = False

    def allowed_per_s(self) -> float:
        """Return the flows that a cold target may receive in any second."""
        return self.per_s * ALLOWED_FACTOR + ALLOWED_EXTRA_FLOWS


@define
class Result:
    """Counts of a run; ``max_flows_per_s`` is the maximum per cold target."""

    max_flows_per_s: int = 0
    cold_flows: int = 0
    refused: int = 0
    flows: int = 0

    def used_share(self, case: Case) -> float:
        """Return the share of the stated rates that was used."""
        cold = TARGETS_PER_DOMAIN * (len(DOMAINS) if case.all_cold else 1)
        stated = cold * case.per_s * WARM_MS / MS_PER_S
        return self.cold_flows / stated


@define
class _Target:
    """Times of the flows that a cold target received in the last second."""

    recent: deque = Factory(deque)

    def count_flow(self, now_ms):
        """Record a flow; return the number within the last second."""
        self.recent.append(now_ms)
        while self.recent[0] <= now_ms - MS_PER_S:
            self.recent.popleft()
        return len(self.recent)


def _make_view(case, rng, domain, index):
    """Return the names in a member's view of its domain."""
    names = [f'{domain}{one}' for one in range(case.balancers // len(DOMAINS))]
    own = f'{domain}{index}'
    if case.views == 'isolated' and index % 3 == 0:
        return (own,)
    if case.views == 'differ':
        names = [one for one in names if one == own or rng.random() < 0.9]
    return tuple(names)


def _make_budget(case, rng, domain, index):
    members = _make_view(case, rng, domain, index)
    fleet = Fleet(f'{domain}{index}', len(DOMAINS) * len(members))
    warm_up = WarmUp(case.per_s, WARM_MS)
    match case.strategy:
        case 'owner':
            return OwnerBudget(warm_up, fleet, domain, members)
        case 'both':
            return BothBudget(warm_up, fleet, domain, members)
        case 'share':
            return SlowStartBudget(warm_up, fleet)
    return None


def _make_pool(case, rng, domain, index):
    pool = Pool(
        'service',
        failure_domain=domain,
        remote_penalty=0.5,
        seed=rng.randrange(1, 2**31),
        cold=_make_budget(case, rng, domain, index),
    )
    for one in DOMAINS:
        for number in range(TARGETS_PER_DOMAIN):
            pool.put(TargetInfo(f'{one}-{number}', one, slots=SLOTS), 0)
    return pool


def _mark_cold(case, pools):
    for pool in pools:
        for name, target in pool.targets.items():
            if case.all_cold or target.failure_domain == DOMAINS[1]:
                is_last = case.strategy == 'last choice'
                info = TargetInfo(
                    name,
                    target.failure_domain,
                    slots=SLOTS,
                    warm_up_ms=WARM_MS,
                    last_choice=is_last,
                )
                pool.put(info, COLD_AT_MS)


def run(case: Case, seed: int = 1) -> Result:
    """Simulate a case."""
    rng = random.Random(seed)
    pools = [
        _make_pool(case, rng, domain, index)
        for domain in DOMAINS
        for index in range(case.balancers // len(DOMAINS))
    ]
    targets = {name: _Target() for name in pools[0].targets}
    result = Result()
    open_flows = deque()
    gap_ms = MS_PER_S / (FLOWS_PER_TARGET_S * len(targets))
    at_ms = 0.0
    is_cold = False
    while at_ms < END_MS:
        at_ms += rng.expovariate(1 / gap_ms)
        now_ms = int(at_ms)
        if not is_cold and now_ms >= COLD_AT_MS:
            is_cold = True
            _mark_cold(case, pools)
        while open_flows and open_flows[0][0] <= now_ms:
            _end_ms, pool, name = open_flows.popleft()
            pool.finished(name, now_ms)
        pool = rng.choice(pools)
        chosen = pool.choose_for_flow(now_ms)
        result.flows += 1
        if chosen is None:
            result.refused += 1
            continue
        pool.note_opening(chosen, now_ms)
        pool.started(chosen.name, now_ms)
        open_flows.append((now_ms + FLOW_MS, pool, chosen.name))
        if is_cold and now_ms < chosen.warm_until_ms:
            result.cold_flows += 1
            received = targets[chosen.name].count_flow(now_ms)
            result.max_flows_per_s = max(result.max_flows_per_s, received)
    return result


def main(arguments) -> int:
    """Run all cases and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    print(
        'way         balancers rate views     cold  most allowed used refused'
    )
    for all_cold in (False, True):
        for per_s in (2.0, 10.0, 50.0):
            for balancers in (9, 99, 399):
                for views in VIEWS:
                    for strategy in STRATEGIES:
                        case = Case(
                            strategy, balancers, per_s, views, all_cold
                        )
                        _print_row(case, run(case, options.seed))
    return 0


def _print_row(case, result):
    print(
        f'{case.strategy:11} {case.balancers:9} {case.per_s:4.0f} '
        f'{case.views:9} '
        f'{"all" if case.all_cold else "third":5} {result.max_flows_per_s:4} '
        f'{case.allowed_per_s():7.0f} {result.used_share(case):4.2f} '
        f'{result.refused / result.flows:7.3f}'
    )
