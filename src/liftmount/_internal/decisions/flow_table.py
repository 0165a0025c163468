"""Flow table of a balancer, and the load of its flows.

The table is a cache: it balances load, pins a flow whose opening was sent to
two targets, and yields evidence on target health. Segments can be routed
without it.
"""

from collections import deque
from enum import Enum

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.decisions.flow_tags import TagTable
from liftmount._internal.decisions.overflow import DomainLoad
from liftmount._internal.decisions.pool import Pool
from liftmount._internal.decisions.pool import TargetLoad
from liftmount._internal.decisions.route_absence import RouteAbsence
from liftmount._internal.decisions.slow_start import Fleet
from liftmount._internal.decisions.slow_start import SlowStartBudget
from liftmount._internal.decisions.target_health import TargetHealth
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.feeds import Expiring
from liftmount._internal.models.segments import Route
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import Segment

# Share of its weight that a target of another failure domain loses: at 0.5
# flows stay in the local domain until its targets carry twice the load.
REMOTE_PENALTY = 0.5
# How long a target removed without a drain notice may continue to serve.
# Some targets drain for many seconds.
DRAIN_GRACE_MS = 10_000
# Decay time of a target's busy share.
# It spans some ten requests.
BUSY_FADE_MS = 1_500


class Phase(Enum):
    """State of a flow, as far as this balancer can tell."""

    OPENING = 'opening'
    OPEN = 'open'
    CLOSED = 'closed'


@define
class Flow:
    """A flow as this balancer has observed it.

    ``tried`` names the targets that its opening was sent to, the last one
    at ``tried_ms``; ``opening`` is that segment while it may be sent to
    another target. ``is_copy`` tells that an earlier copy of the opening may
    have gone to another balancer. ``sent`` is the sequence number after the
    last new byte. ``is_working`` tells whether a request seems to be in
    progress, since ``working_ms``; ``request`` is the last segment of its
    data. ``route`` is None if the tag alone leads to the target: the route is
    not known here.
    ``is_proven`` tells that the target is known to hold the flow,
    ``has_other_tag`` that the client sent the tag of another target, and
    ``is_contested`` that it may do so, which other members were told.
    """

    key: bytes
    route: Route | None
    client: Endpoint
    address: Endpoint
    phase: Phase
    opened_ms: int
    seen_ms: int
    target: str = ''
    tag: int = 0
    tried: tuple[str, ...] = ()
    opening: Segment | None = None
    tried_ms: int = 0
    sent: int = 0
    acknowledged: int = 0
    is_working: bool = False
    working_ms: int = 0
    request: Segment | None = None
    is_copy: bool = False
    is_proven: bool = False
    has_other_tag: bool = False
    is_contested: bool = False


@frozen
class SlotCounts:
    """Slots of a service in the local failure domain and in others.

    Slots of dead targets count only in ``remote``.
    """

    local: int
    remote: int
    remote_alive: int


@define
class ForwardingState:
    """Routes, targets, pools by service, flows, and target health.

    ``opening`` holds the flows whose opening waits for an answer, ``pending``
    the segments that wait for routes or targets, both in order of time.
    ``retired`` maps a removed target to the time at which it is forgotten.
    ``seed`` makes the choices of balancers differ. ``remote_progress_ms``
    is when a flow to a target of another failure domain last showed
    progress. ``slots`` caches the counts of services whose targets have not
    changed. ``evacuated`` names the failure domains whose targets get no
    new flows; while it is None (unknown), openings are pending. ``regions``
    maps failure domains to regions. ``are_targets_confirmed`` tells whether
    the targets come from a source that doesn't lag. ``fleet`` is the number
    of balancers that share the slow start rate. ``stalls`` is a StallWatch if
    requests without an answer count against targets. ``pins`` is a PinTable
    once other members can be asked for the targets of flows. ``turn`` is
    the position of the round robin over a route's services.
    """

    failure_domain: str
    flow_max_age_ms: int
    seed: int = 1
    table: RouteTable | None = None
    absence: RouteAbsence = Factory(RouteAbsence)
    has_targets: bool = False
    are_targets_confirmed: bool = False
    evacuated: frozenset[str] | None = frozenset()
    regions: dict[str, str] = Factory(dict)
    fleet: Fleet = Factory(Fleet)
    tags: TagTable = Factory(TagTable)
    pools: dict[str, Pool] = Factory(dict)
    slots: dict[str, SlotCounts] = Factory(dict)
    retired: dict[str, int] = Factory(dict)
    health: TargetHealth = Factory(TargetHealth)
    stalls: object = None
    pins: object = None
    flows: dict[bytes, Flow] = Factory(dict)
    opening: deque = Factory(deque)
    pending: deque = Factory(deque)
    remote_progress_ms: int = 0
    next_sweep_ms: int = 0
    ticked_ms: int = 0
    turn: int = 0

    @property
    def is_complete(self) -> bool:
        """Return whether routes, targets and evacuations are known."""
        can_place = self.has_targets and self.evacuated is not None
        return self.table is not None and can_place

    def watch_stalls(self) -> None:
        """Count requests without an answer against targets."""
        # Not every deployment needs it, so imported here.
        from liftmount._internal.decisions.stalls import StallWatch

        self.stalls = StallWatch()

    def pool(self, service: str) -> Pool:
        """Return the pool of a service."""
        found = self.pools.get(service)
        if found is None:
            found = Pool(
                service,
                failure_domain=self.failure_domain,
                remote_penalty=REMOTE_PENALTY,
                fade_ms=BUSY_FADE_MS,
                seed=self.seed,
                closed=self.evacuated or frozenset(),
            )
            self._set_budget(found)
            self.pools[service] = found
        return found

    def use_table(self, table: RouteTable) -> None:
        """Apply the route table of a configuration version."""
        self.table = table
        for pool in self.pools.values():
            self._set_budget(pool)

    def _set_budget(self, pool):
        """Set a pool's slow start budget if its service states a rate."""
        warm_ups = self.table.warm_ups if self.table else {}
        warm_up = warm_ups.get(pool.key)
        if warm_up is None:
            pool.cold = None
        elif pool.cold is None:
            pool.cold = SlowStartBudget(warm_up, self.fleet)
        else:
            pool.cold.warm_up = warm_up

    def domains_for(self, route: Route) -> frozenset[str] | None:
        """Return the failure domains that a route allows; None for any."""
        if not route.regions:
            return None
        return frozenset(
            domain
            for domain, region in self.regions.items()
            if region in route.regions
        )


def move_flow(state: ForwardingState, flow: Flow, target: str, now_ms) -> None:
    """Assign a flow to another target and update the load of both."""
    was_working = flow.is_working
    note_work(state, flow, False, now_ms)
    _count_flow(state, flow.target, -1)
    flow.target = target
    _count_flow(state, target, 1)
    note_work(state, flow, was_working, now_ms)


def _count_flow(state, target, step):
    load = load_of(state, target)
    if load is not None:
        load.open_streams = max(0, load.open_streams + step)


def load_of(state: ForwardingState, target: str) -> TargetLoad | None:
    """Return the load of a target, or None if it is in no pool."""
    entry = state.tags.entries.get(target)
    if entry is None:
        return None
    return state.pool(entry.service).targets.get(target)


def may_open(state: ForwardingState, target: str, now_ms: int) -> bool:
    """Return whether a target may receive an opening again."""
    load = load_of(state, target)
    if load is None or state.health.is_avoided(target):
        return False
    entry = state.tags.entries[target]
    return state.pool(entry.service).may_open(load, now_ms)


def may_be_finishing(state: ForwardingState, target: str, now_ms: int) -> bool:
    """Return whether a target may serve flows while it refuses connections.

    A draining target stops listening before it ends, and its entry is
    removed afterwards. Without a drain notice the entry is removed first.
    Targets that are not confirmed may be draining unnoticed.
    """
    entry = state.tags.entries.get(target)
    if entry is None:
        return False
    if not state.are_targets_confirmed:
        return True
    forgotten_ms = state.retired.get(target)
    if forgotten_ms is None:
        return entry.draining
    gone_ms = forgotten_ms - state.flow_max_age_ms
    return not entry.draining and now_ms - gone_ms < DRAIN_GRACE_MS


def is_probe_wanted(state: ForwardingState, target: str) -> bool:
    """Return whether the result of a probe of a target would be used.

    Targets of an evacuated domain are probed only while they hold open
    flows, which a reset would allow to reconnect elsewhere.
    """
    entry = state.tags.entries.get(target)
    if entry is None or entry.failure_domain not in (state.evacuated or ()):
        return True
    return any(
        flow.target == target and flow.phase is Phase.OPEN
        for flow in state.flows.values()
    )


def note_work(
    state: ForwardingState, flow: Flow, is_working: bool, now_ms: int
) -> None:
    """Record that a flow's request began or ended."""
    if is_working:
        flow.working_ms = now_ms
    else:
        flow.request = None
    if flow.is_working == is_working:
        return
    flow.is_working = is_working
    if load_of(state, flow.target) is None:
        return
    pool = state.pool(state.tags.entries[flow.target].service)
    if is_working:
        pool.started(flow.target, now_ms)
    else:
        pool.finished(flow.target, now_ms)


def close_flow(state: ForwardingState, flow: Flow, now_ms: int) -> None:
    """Mark a flow as closed; its last segments may still follow."""
    if flow.phase is not Phase.CLOSED:
        note_work(state, flow, False, now_ms)
        _count_flow(state, flow.target, -1)
        flow.phase = Phase.CLOSED


def end_flow(state: ForwardingState, flow: Flow, now_ms: int) -> None:
    """Remove a flow from the table."""
    close_flow(state, flow, now_ms)
    state.flows.pop(flow.key, None)


def retired_targets(state: ForwardingState, now_ms: int) -> tuple:
    """Return an Expiring for each retired target."""
    return tuple(
        Expiring(state.tags.entries[name], max(0, until_ms - now_ms))
        for name, until_ms in state.retired.items()
    )


def domain_loads(state: ForwardingState, members: int, now_ms: int) -> tuple:
    """Return a DomainLoad for each service with targets.

    The domain's demand is estimated as this balancer's demand times the
    number of ``members`` in the domain.
    """
    return tuple(
        _domain_load(state, pool, members, now_ms)
        for pool in state.pools.values()
        if pool.targets
    )


def _domain_load(state, pool, members, now_ms):
    counts = state.slots.get(pool.key)
    if counts is None:
        counts = _count_slots(state, pool)
        state.slots[pool.key] = counts
    demand = pool.demand(now_ms) * members
    return DomainLoad(demand, counts.local, counts.remote, counts.remote_alive)


def _count_slots(state, pool):
    local = remote = remote_alive = 0
    for target in pool.targets.values():
        if not pool.may_take(target):
            continue
        is_dead = state.health.is_dead(target.name)
        if target.failure_domain == state.failure_domain:
            local += 0 if is_dead else target.slots
        else:
            remote += target.slots
            remote_alive += 0 if is_dead else target.slots
    return SlotCounts(local, remote, remote_alive)
