"""When a failure domain hands its clients to other domains.

A domain that is cut off from the others serves its clients by its own
targets.  If these can't carry the load, its balancers say that they are
not ready, and the fabric brings the clients to other domains, whose
targets can.  They come back when the cut has healed.
"""

from attrs import define

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message

# Part of its slots that a domain's load may take before it counts as short:
# with three slots above it requests wait longer than they take.
MAX_LOAD_SHARE = 0.75
# Part of the other domains' slots that answers at most while cut off, and
# at least when the cut has healed.
MAX_CUT_ALIVE_SHARE = 0.1
MIN_HEALED_ALIVE_SHARE = 0.5
# How long a cut must be seen before it counts, and its end: a few probes.
CUT_CONFIRM_MS = 500
HEALED_CONFIRM_MS = 1_000


@message
class DomainLoad(Message):
    """The load of one service, in slots, as one balancer sees it.

    ``demand_slots`` is what the whole domain's clients keep busy;
    ``local_slots`` are those of its own targets that answer.
    ``remote_slots`` are those of other domains, ``remote_alive_slots`` what of
    them answers.
    """

    demand_slots: float
    local_slots: int
    remote_slots: int
    remote_alive_slots: int


@message
class DomainObserved(Message):
    """The load of each service; ``is_isolated`` if no far member lives.

    ``remote_progress_ms`` is when a flow to another domain's target last showed
    progress: then it was a target that failed and not the way there.
    """

    loads: tuple[DomainLoad, ...]
    is_isolated: bool
    remote_progress_ms: int
    now_ms: int


@message
class OverflowChanged(Message):
    """The domain's clients are handed over, or taken back."""

    is_handed_over: bool
    reason: str


@define
class OverflowState:
    """Since when the domain seems cut off, or healed; None if it isn't."""

    is_handed_over: bool = False
    cut_since_ms: int | None = None
    healed_since_ms: int | None = None


def decide(state: OverflowState, event: DomainObserved) -> list:
    """Return an OverflowChanged when the state changes."""
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
    """Return the loads that no other domain's targets can help with.

    A service that sends few flows abroad notices a cut late, so each
    service counts for itself.
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
    """Return which part of the far slots answers."""
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
    """Tell whether the own targets can't carry what others could."""
    is_loaded = load.demand_slots > MAX_LOAD_SHARE * load.local_slots
    return is_loaded and load.remote_slots > load.local_slots
