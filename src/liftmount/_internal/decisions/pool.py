"""Placement: which target of a pool gets the next request or flow.

The owner of a pool sees all of its load and balances utilization, the share
of time that a target's slots are busy. The next request goes to the free
target whose slots were least busy recently. Slower targets stay busy longer
and so receive less, without a measurement of their speed.
"""

from zlib import crc32

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.decisions.capacity import BusyShare
from liftmount._internal.decisions.capacity import Capacity
from liftmount._internal.decisions.capacity import INITIAL_LIMIT
from liftmount._internal.decisions.slow_start import SlowStartBudget

FADE_MS = 12_000.0
RAMP_MS = 20_000
RAMP_START = 0.1
FAILURES_TO_EJECT = 3
INITIAL_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
WEIGHT_REFRESH_MS = 250
MAX_EJECTED_SHARE = 0.5
# With more stalled targets the service as a whole is slow.
MAX_STALL_EJECTED_SHARE = 1 / 3
# Of more targets than MAX_COMPARED, only SAMPLE_SIZE random ones are compared.
MAX_COMPARED = 24
SAMPLE_SIZE = 16
# Weight of requests in progress beside the decaying busy share; breaks ties
# and distributes bursts.
IN_PROGRESS_WEIGHT = 0.05
# Targets of the owner's failure domain win near ties.
REMOTE_PENALTY = 0.002
# Share of its weight that a target has while it reports that it warms up.
# Its work takes about 1.6 times as long meanwhile.
WARMING_SHARE = 0.6
# Slots that a flow is expected to occupy: one that is open and idle, and one
# that is about to open.
OPEN_FLOW_SHARE = 0.02
NEW_FLOW_SHARE = 0.25
# Largest offset to a target's load, in slots (``TargetLoad.lean``).
MAX_BIAS_SLOTS = 0.15
CRC_MASK = 2**32 - 1
_LCG_FACTOR = 6364136223846793005
_LCG_STEP = 1442695040888963407
_LCG_MASK = 2**64 - 1


@frozen
class TargetInfo:
    """A target as described by configuration and instance list.

    ``slots`` is the number of requests that it says it processes at once;
    0 means that the limit has to be learned. ``warm_up_ms`` is the remaining
    warm-up time. A target with ``last_choice`` gets work only if there is
    no other.
    """

    name: str
    failure_domain: str
    incarnation: int = 0
    leaving: bool = False
    slots: int = 0
    warm_up_ms: int = 0
    last_choice: bool = False


@frozen
class Start:
    """The state of a target when a request was sent to it.

    ``level`` is the number of requests in progress, including this one;
    ``ended`` is the number of those that had ended before.
    """

    level: int
    ended: int


@define
class TargetLoad:
    """The load of a target as observed by the owner of its pool.

    ``busy`` is the decaying mean of slots in use. ``slots`` is 0 if the
    target doesn't state them. ``weight`` is its share of flows relative to
    other targets. ``lean`` is a constant offset to its load, in slots; it
    differs by balancer, so that balancers with equal views choose different
    targets.
    """

    name: str
    failure_domain: str
    incarnation: int
    added_ms: int
    busy: BusyShare
    leaving: bool = False
    last_choice: bool = False
    slots: int = 0
    warm_until_ms: int = 0
    in_progress: int = 0
    ended: int = 0
    open_streams: int = 0
    capacity: Capacity = Factory(Capacity)
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    weight: float = 1.0
    weight_until_ms: int = 0
    lean: float = 0.0

    def ramp(self, now_ms: int) -> float:
        """Return the share of its weight that a new target has, up to 1."""
        if self.slots:
            return WARMING_SHARE if now_ms < self.warm_until_ms else 1.0
        age_ms = now_ms - self.added_ms
        return min(1.0, RAMP_START + (1 - RAMP_START) * age_ms / RAMP_MS)


@define
class Pool:
    """The targets of one pool; ``failure_domain`` is that of the owner.

    ``remote_penalty`` is the share of its weight that a target of another
    failure domain loses; ``fade_ms`` is the decay time of busy shares.
    ``busy`` and ``in_progress`` are totals over all targets. Targets in the
    failure domains ``closed`` get no new work. ``cold`` limits new flows to
    targets in slow start; None means no limit. ``panics`` counts how often
    ejections were ignored.
    """

    key: str
    failure_domain: str = ''
    targets: dict[str, TargetLoad] = Factory(dict)
    remote_penalty: float = REMOTE_PENALTY
    fade_ms: float = FADE_MS
    seed: int = 1
    panics: int = 0
    closed: frozenset[str] = frozenset()
    cold: SlowStartBudget | None = None
    busy: BusyShare = Factory(
        lambda self: BusyShare(self.fade_ms), takes_self=True
    )
    in_progress: int = 0
    _usable: list | None = None
    _usable_until_ms: int = 0
    _usable_by_domains: dict = Factory(dict)
    _cold_until_ms: int = 0
    _reference_ms: dict = Factory(dict)
    _reference_until_ms: int = 0

    def update(self, infos, now_ms: int) -> None:
        """Replace the targets by those that the configuration lists."""
        wanted = {info.name: info for info in infos}
        for name in set(self.targets) - set(wanted):
            self.remove(name)
        for info in wanted.values():
            self.put(info, now_ms)

    def put(self, info: TargetInfo, now_ms: int) -> None:
        """Add a target, or update a known one."""
        self._invalidate_usable()
        known = self.targets.get(info.name)
        if known is None:
            known = self._make_load(info, now_ms)
            self.targets[info.name] = known
        known.leaving = info.leaving
        known.last_choice = info.last_choice
        known.failure_domain = info.failure_domain
        self._set_warm_until(known, now_ms + info.warm_up_ms, now_ms)
        known.weight_until_ms = 0

    def _set_warm_until(self, target, until_ms, now_ms):
        target.warm_until_ms = until_ms
        if self.cold is None:
            return
        if until_ms > now_ms:
            self.cold.begin(target.name, now_ms)
        else:
            self.cold.forget(target.name)

    def remove(self, name: str) -> None:
        """Remove a target."""
        self._invalidate_usable()
        target = self.targets.pop(name, None)
        if target is not None:
            self.in_progress -= target.in_progress
        if self.cold is not None:
            self.cold.forget(name)

    def _make_load(self, info, now_ms):
        # Starting at the mean load keeps a new target from being flooded.
        busy = self.mean_busy(now_ms)
        share = BusyShare(self.fade_ms, busy, now_ms)
        # The first targets of a pool start at their full share.
        added_ms = now_ms if self.targets else now_ms - RAMP_MS
        limit = info.slots or INITIAL_LIMIT
        return TargetLoad(
            name=info.name,
            failure_domain=info.failure_domain,
            incarnation=info.incarnation,
            added_ms=added_ms,
            busy=share,
            leaving=info.leaving,
            slots=info.slots,
            capacity=Capacity(limit=limit),
            lean=self._bias(info.name),
        )

    def _bias(self, name):
        mixed = crc32(name.encode(), self.seed & CRC_MASK)
        return MAX_BIAS_SLOTS * mixed / CRC_MASK

    def seen(self, name: str, incarnation: int, now_ms: int) -> None:
        """Record the incarnation that a target reported.

        A new incarnation resets the target's load and capacity.
        """
        target = self.targets.get(name)
        if target is None or target.incarnation == incarnation:
            return
        if target.incarnation == 0:
            target.incarnation = incarnation
            return
        # What the process before could carry says nothing about this one.
        info = TargetInfo(
            name, target.failure_domain, incarnation, target.leaving
        )
        self.in_progress -= target.in_progress
        self.targets[name] = self._make_load(info, now_ms)
        self._invalidate_usable()

    def demand(self, now_ms: int) -> float:
        """Return the recent mean of slots in use, over all targets."""
        return self.busy.update(self.in_progress, now_ms)

    def mean_busy(self, now_ms: int) -> float:
        """Return the recent mean of slots in use per target."""
        if not self.targets:
            return 0.0
        return self.demand(now_ms) / len(self.targets)

    def usable(self, now_ms: int) -> list[TargetLoad]:
        """Return the targets that may get new work.

        When more than half would be ejected, ejections are ignored (panic
        mode), since the fault is more likely local. The list is cached
        until a target changes or the next ejection ends.
        """
        if self._usable is None or now_ms >= self._usable_until_ms:
            self._usable = self._find_usable(now_ms)
        return self._usable

    def may_take(self, target: TargetLoad) -> bool:
        """Return whether a target may get new work, health aside."""
        is_closed = target.failure_domain in self.closed
        return not (target.leaving or is_closed)

    def may_open(self, target: TargetLoad, now_ms: int) -> bool:
        """Return whether a target may receive the opening of a flow now."""
        if not self.may_take(target):
            return False
        if self.cold is None or now_ms >= target.warm_until_ms:
            return True
        return self.cold.may_take(target.name, now_ms)

    def note_opening(self, target: TargetLoad, now_ms: int) -> None:
        """Record an opening sent to a target."""
        if self.cold is not None and now_ms < target.warm_until_ms:
            self.cold.spend(target.name, now_ms)

    def close_domains(self, domains: frozenset[str], now_ms: int) -> None:
        """Set the failure domains whose targets get no new work.

        With a slow start budget, the targets of a domain that is no longer
        closed start slowly: their own report of a warm-up may arrive later.
        """
        returned = self.closed - domains
        self.closed = domains
        self._invalidate_usable()
        if self.cold is None:
            return
        cold_until_ms = now_ms + self.cold.warm_up.lasts_ms
        for target in self.targets.values():
            if target.failure_domain in returned:
                until_ms = max(target.warm_until_ms, cold_until_ms)
                self._set_warm_until(target, until_ms, now_ms)

    def _usable_in(self, domains, now_ms):
        """Return the usable targets in failure domains; None for all."""
        usable = self.usable(now_ms)
        if domains is None:
            return usable
        found = self._usable_by_domains.get(domains)
        if found is None:
            found = [
                target for target in usable if target.failure_domain in domains
            ]
            self._usable_by_domains[domains] = found
        return found

    def _find_usable(self, now_ms):
        self._usable_by_domains.clear()
        self._cold_until_ms = max(
            (target.warm_until_ms for target in self.targets.values()),
            default=0,
        )
        present = [
            target for target in self.targets.values() if self.may_take(target)
        ]
        preferred = [target for target in present if not target.last_choice]
        present = preferred or present
        healthy = []
        self._usable_until_ms = now_ms + MAX_EJECTION_MS
        for target in present:
            if now_ms >= target.ejected_until_ms:
                healthy.append(target)
            else:
                until_ms = min(self._usable_until_ms, target.ejected_until_ms)
                self._usable_until_ms = until_ms
        if len(healthy) < len(present) * (1 - MAX_EJECTED_SHARE):
            self.panics += 1
            return present
        return healthy

    def avoid(self, name: str, until_ms: int) -> None:
        """Give a target no new work until a time, if others can take it."""
        target = self.targets.get(name)
        if target is not None:
            target.ejected_until_ms = max(target.ejected_until_ms, until_ms)
            self._invalidate_usable()

    def eject(self, name: str, until_ms: int, now_ms: int) -> None:
        """Eject a target until a time, unless too many are ejected already."""
        avoided = sum(
            now_ms < target.ejected_until_ms
            for target in self.targets.values()
            if target.name != name
        )
        if avoided + 1 <= MAX_STALL_EJECTED_SHARE * len(self.targets):
            self.avoid(name, until_ms)

    hold_out = eject  # Former name, kept for embedders.

    def set_last_choice(self, name: str, is_last: bool) -> None:
        """Set whether a target gets work only if there is no other."""
        target = self.targets.get(name)
        if target is not None:
            target.last_choice = is_last
            self._invalidate_usable()

    def _invalidate_usable(self):
        self._usable = None

    def choose(self, now_ms: int, avoid=()) -> TargetLoad | None:
        """Return the target for a request, or None if all are full."""
        usable = self._sample(self.usable(now_ms))
        allowed = usable
        if avoid:
            allowed = [target for target in usable if target.name not in avoid]
        prior = self._prior_limit(allowed)
        free = [
            target
            for target in allowed
            if target.in_progress < target.capacity.usable_limit(prior)
        ]
        if not free:
            # All targets are full: try to raise a limit.
            free = [
                target for target in allowed if _may_try(target, prior, now_ms)
            ]
        if not free:
            return None
        return min(free, key=lambda target: self._score(target, prior, now_ms))

    @staticmethod
    def _prior_limit(targets):
        """Return the upper quartile of the targets' learned limits."""
        limits = sorted(target.capacity.limit for target in targets)
        return limits[len(limits) * 3 // 4] if limits else INITIAL_LIMIT

    def choose_for_stream(self, now_ms: int, avoid=()) -> TargetLoad | None:
        """Return the target for a long flow: fewest streams per weight."""
        usable = self.usable(now_ms)
        return self._choose_least(usable, now_ms, avoid, _stream_load)

    def choose_for_flow(
        self, now_ms: int, avoid=(), domains: frozenset[str] | None = None
    ) -> TargetLoad | None:
        """Return the target for a flow of unknown length.

        Current and recent work counts more than the number of flows: flows
        differ in load, and a new target with few of them would be flooded.
        The target's failure domain is one of ``domains`` unless that is
        None. Returns None if no target may take the flow.
        """
        usable = self._usable_in(domains, now_ms)
        if self.cold is not None and now_ms < self._cold_until_ms:
            usable = [
                target for target in usable if self.may_open(target, now_ms)
            ]
        return self._choose_least(
            usable, now_ms, avoid, lambda target: flow_cost(target, now_ms)
        )

    def _choose_least(self, usable, now_ms, avoid, cost):
        """Refresh weights and return the target of the least cost."""
        usable = self._sample(usable)
        if avoid:
            usable = [target for target in usable if target.name not in avoid]
        if not usable:
            return None
        if now_ms >= self._reference_until_ms:
            self._reference_until_ms = now_ms + WEIGHT_REFRESH_MS
            # Targets without observed latencies can't be compared.
            seen = [target for target in usable if target.capacity.latencies]
            self._reference_ms = self._mean_latency_ms(seen)
        for target in usable:
            if now_ms >= target.weight_until_ms:
                self._update_weight(target, now_ms)
        return min(usable, key=cost)

    def _update_weight(self, target, now_ms):
        """Recompute the weight of a target."""
        target.weight_until_ms = now_ms + WEIGHT_REFRESH_MS
        weight = stream_weight(target, self._reference_ms) * target.ramp(
            now_ms
        )
        if target.failure_domain != self.failure_domain:
            weight *= 1.0 - self.remote_penalty
        target.weight = weight

    def _score(self, target, prior, now_ms):
        limit = target.capacity.usable_limit(prior)
        busy = target.busy.update(target.in_progress, now_ms) / limit
        score = busy + IN_PROGRESS_WEIGHT * target.in_progress / limit
        if target.failure_domain != self.failure_domain:
            score += self.remote_penalty
        return score

    def _sample(self, usable):
        if len(usable) <= MAX_COMPARED:
            return usable
        return [
            usable[self._next_random() % len(usable)]
            for _ in range(SAMPLE_SIZE)
        ]

    def _next_random(self):
        self.seed = (self.seed * _LCG_FACTOR + _LCG_STEP) & _LCG_MASK
        return self.seed >> 33

    @staticmethod
    def _mean_latency_ms(targets):
        means = {}
        for target in targets:
            for service, latency in target.capacity.latencies.items():
                means.setdefault(service, []).append(latency.mean_ms)
        return {key: sum(v) / len(v) for key, v in means.items()}

    def started(self, name: str, now_ms: int) -> Start:
        """Record a request sent to a target."""
        target = self.targets[name]
        target.busy.update(target.in_progress, now_ms)
        target.in_progress += 1
        self.busy.update(self.in_progress, now_ms)
        self.in_progress += 1
        return Start(target.in_progress, target.ended)

    def finished(self, name: str, now_ms: int) -> TargetLoad | None:
        """Record the end of a request; return None if the target is gone."""
        target = self.targets.get(name)
        if target is None:
            return None
        target.busy.update(target.in_progress, now_ms)
        target.ended += 1
        if target.in_progress:
            target.in_progress -= 1
            self.busy.update(self.in_progress, now_ms)
            self.in_progress -= 1
        return target

    def succeeded(self, name: str) -> None:
        """Record an answer of a target."""
        target = self.targets.get(name)
        if target is not None:
            target.failures = 0
            target.ejections = 0

    def failed(self, name: str, now_ms: int) -> None:
        """Record a timeout or a broken connection; may eject the target."""
        target = self.targets.get(name)
        if target is None or now_ms < target.ejected_until_ms:
            return
        target.failures += 1
        if target.failures < FAILURES_TO_EJECT:
            return
        length_ms = INITIAL_EJECTION_MS << min(target.ejections, 10)
        length_ms = min(length_ms, MAX_EJECTION_MS)
        target.ejected_until_ms = now_ms + length_ms
        self._invalidate_usable()
        target.ejections += 1
        # The next failure ejects it again, for longer.
        target.failures = FAILURES_TO_EJECT - 1

    def wait_ms(self, ahead: int, now_ms: int) -> float:
        """Estimate how long a request waits behind ``ahead`` others."""
        rate_per_ms = 0.0
        for target in self.usable(now_ms):
            known = target.capacity.latencies.values()
            if known:
                mean_ms = sum(item.mean_ms for item in known) / len(known)
                rate_per_ms += target.capacity.limit / mean_ms
        return ahead / rate_per_ms if rate_per_ms else 0.0

    def latency_ms(self, service: str) -> float:
        """Return the least mean latency of a service; 0 if unknown."""
        found = [
            target.capacity.latency_ms(service)
            for target in self.targets.values()
        ]
        known = [latency_ms for latency_ms in found if latency_ms is not None]
        return min(known, default=0.0)


def flow_cost(target: TargetLoad, now_ms: int) -> float:
    """Return the weighted load that a target would have with one more flow."""
    busy = target.busy.update(target.in_progress, now_ms)
    idle = OPEN_FLOW_SHARE * target.open_streams
    work = target.in_progress + busy + idle + NEW_FLOW_SHARE
    return (work + target.lean) / target.weight


def _stream_load(target):
    return (target.open_streams + 1) / target.weight


def _may_try(target, prior, now_ms) -> bool:
    """Return whether a target may get one request above its limit."""
    level = target.capacity.usable_limit(prior) + 1
    if target.in_progress + 1 != level:
        return False
    return target.capacity.may_try(level, now_ms)


def stream_weight(target: TargetLoad, reference_ms: dict) -> float:
    """Return a target's share of flows relative to its peers.

    The weight is its limit times its relative speed, where known.
    """
    speeds = [
        reference_ms[service] / latency.mean_ms
        for service, latency in target.capacity.latencies.items()
        if service in reference_ms
    ]
    speed = sum(speeds) / len(speeds) if speeds else 1.0
    return target.capacity.limit * speed
