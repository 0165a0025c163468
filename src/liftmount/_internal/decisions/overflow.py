"""Overflow: when a failure domain hands its clients over to other domains.

A domain that a network partition cuts off serves its clients with its own
targets. If these can't carry the load, its balancers fail their readiness
check, and the fabric routes the clients to other domains. The clients are
taken back when the partition has healed.
"""

from attrs import define

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message

# Share of the local slots above which the domain is overloaded: beyond it
# requests queue for longer than they take.
MAX_LOAD_SHARE = 0.75
# Share of the remote slots that respond: at most while cut off, and at least
# after the partition has healed.
MAX_CUT_ALIVE_SHARE = 0.1
MIN_HEALED_ALIVE_SHARE = 0.5
# How long a partition, or its end, must be observed; covers a few probes.
CUT_CONFIRM_MS = 500
HEALED_CONFIRM_MS = 1_000


@message
class DomainLoad(Message):
    """The load of one service, in slots, as one balancer sees it.

    ``demand_slots`` is what the clients of the whole domain occupy;
    ``local_slots`` are those of its own targets that respond.
    ``remote_slots`` are those of other domains, and ``remote_alive_slots``
    the ones of these that respond.
    """

    demand_slots: float
    local_slots: int
    remote_slots: int
    remote_alive_slots: int


@message
class DomainObserved(Message):
    """The load of each service; ``is_isolated`` if no remote member is live.

    ``remote_progress_ms`` is when a flow to a remote target last showed
    progress: recent progress means that targets failed and not the path.
    """

    loads: tuple[DomainLoad, ...]
    is_isolated: bool
    remote_progress_ms: int
    now_ms: int


@message
class OverflowChanged(Message):
    """The domain's clients are handed over or taken back."""

    is_handed_over: bool
    reason: str


@define
class OverflowState:
    """Times since when the domain is cut off or healed; None if it isn't."""

    is_handed_over: bool = False
    cut_since_ms: int | None = None
    healed_since_ms: int | None = None


def decide(state: OverflowState, event: DomainObserved) -> list:
    """Return an OverflowChanged if the state changes."""
    _note_cut(state, event)
    if state.is_handed_over:
        return _check_healed(state, event.now_ms)
    return _check_overload(state, event)


def _note_cut(state, event):
    now_ms = event.now_ms
    is_cut = bool(_cut_loads(event))
    if not is_cut:
        state.cut_since_ms = None
    elif state.cut_since_ms is None:
        state.cut_since_ms = now_ms
    is_healed = (
        not is_cut and _remote_alive_share(event) >= MIN_HEALED_ALIVE_SHARE
    )
    if not is_healed:
        state.healed_since_ms = None
    elif state.healed_since_ms is None:
        state.healed_since_ms = now_ms


def _cut_loads(event):
    """Return the loads of services that are cut off from remote targets.

    Services are assessed one by one, since one that sends few flows to
    other domains notices a partition late.
    """
    if event.now_ms - event.remote_progress_ms < CUT_CONFIRM_MS:
        return []
    return [
        load
        for load in event.loads
        if load.remote_slots and (event.is_isolated or _is_cut(load))
    ]


def _is_cut(load):
    return load.remote_alive_slots <= MAX_CUT_ALIVE_SHARE * load.remote_slots


def _remote_alive_share(event):
    """Return the share of remote slots that respond."""
    remote = sum(load.remote_slots for load in event.loads)
    alive = sum(load.remote_alive_slots for load in event.loads)
    return alive / remote if remote else 1.0


def _check_healed(state, now_ms):
    if (
        state.healed_since_ms is None
        or now_ms - state.healed_since_ms < HEALED_CONFIRM_MS
    ):
        return []
    state.is_handed_over = False
    return [OverflowChanged(False, 'other domains answer again')]


def _check_overload(state, event):
    if (
        state.cut_since_ms is None
        or event.now_ms - state.cut_since_ms < CUT_CONFIRM_MS
    ):
        return []
    overloaded = [load for load in _cut_loads(event) if _is_overloaded(load)]
    if not overloaded:
        return []
    state.is_handed_over = True
    worst = max(overloaded, key=lambda load: load.demand_slots)
    demand = round(worst.demand_slots, 1)
    reason = f'cut off with {worst.local_slots} slots for a load of {demand}'
    return [OverflowChanged(True, reason)]


def _is_overloaded(load):
    """Return whether a service lacks local slots that others have."""
    is_loaded = load.demand_slots > MAX_LOAD_SHARE * load.local_slots
    return is_loaded and load.remote_slots > load.local_slots
