"""The lease of a failure domain, with a fencing epoch.

Clocks of different hosts are not compared: another holder's lease counts as
expired when its version has not changed for the lease duration on this
host's own clock.  The lease alone does not protect writes: its holder
writes conditionally, so a write after a pause fails if another member took
the lease meanwhile.
"""

from attrs import define
from attrs import field
from attrs import frozen

from liftmount._internal.models.records import Tick

RENEWALS_PER_LEASE = 3


@frozen
class LeaseValue:
    """The content of the lease object."""

    holder: str
    incarnation: int
    epoch: int
    duration_ms: int
    renewals: int = 0


@frozen
class LeaseRead:
    """The lease object was read; ``value`` is None if it does not exist."""

    value: LeaseValue | None
    version: int
    now_ms: int


@frozen
class LeaseWritten:
    """A conditional write, requested at ``asked_ms``, succeeded."""

    value: LeaseValue
    version: int
    asked_ms: int


@frozen
class LeaseWriteFailed:
    """A write of the lease met a conflict, or its answer was lost."""


@frozen
class ReadLease:
    """Read the lease object."""


@frozen
class WriteLease:
    """Write the lease if its version is still ``expected_version``.

    Version 0 means that the object does not exist.
    """

    value: LeaseValue
    expected_version: int


@define
class LeaseState:
    """What one balancer knows about the lease of its failure domain.

    ``version`` is -1 if the version of the lease is unknown.
    """

    name: str
    incarnation: int
    duration_ms: int
    value: LeaseValue | None = None
    version: int = field(default=-1)
    version_seen_ms: int = 0
    held_until_ms: int = 0
    next_step_ms: int = 0

    def is_held(self, now_ms: int) -> bool:
        """Return whether this process may act as the holder.

        The duration counts from when the write was requested, so the
        holder stops no later than another member may take the lease.
        """
        return now_ms < self.held_until_ms

    @property
    def epoch(self) -> int:
        """Return the fencing epoch last seen, or 0."""
        return self.value.epoch if self.value else 0


def decide(state: LeaseState, event, is_candidate: bool = True) -> list:
    """Return the actions for an event.

    Only a candidate acquires or renews the lease.
    """
    match event:
        case LeaseRead():
            return _handle_read(state, event, is_candidate)
        case LeaseWritten():
            _record_version(state, event.value, event.version, event.asked_ms)
            state.held_until_ms = event.asked_ms + state.duration_ms
            return []
        case LeaseWriteFailed():
            state.held_until_ms = 0
            state.version = -1
            return []
        case Tick():
            return _handle_tick(state, event.now_ms, is_candidate)
    raise TypeError(f'unknown event {event!r}')


def _record_version(state, value, version, now_ms):
    if version != state.version:
        state.version_seen_ms = now_ms
    state.value = value
    state.version = version


def _is_own(state):
    value = state.value
    if value is None:
        return False
    own = (state.name, state.incarnation)
    return (value.holder, value.incarnation) == own


def _handle_tick(state, now_ms, is_candidate):
    if not is_candidate:
        state.held_until_ms = 0
        return []
    if now_ms < state.next_step_ms:
        return []
    state.next_step_ms = now_ms + state.duration_ms // RENEWALS_PER_LEASE
    if state.is_held(now_ms) and _is_own(state):
        return [WriteLease(_make_renewed(state), state.version)]
    return [ReadLease()]


def _make_renewed(state):
    return LeaseValue(
        holder=state.name,
        incarnation=state.incarnation,
        epoch=state.value.epoch,
        duration_ms=state.duration_ms,
        renewals=state.value.renewals + 1,
    )


def _handle_read(state, event, is_candidate):
    _record_version(state, event.value, event.version, event.now_ms)
    if not is_candidate:
        return []
    if event.value is None:
        return [WriteLease(_make_next_epoch(state), 0)]
    if _is_own(state):
        return [WriteLease(_make_renewed(state), event.version)]
    unchanged_ms = event.now_ms - state.version_seen_ms
    if unchanged_ms >= event.value.duration_ms:
        return [WriteLease(_make_next_epoch(state), event.version)]
    return []


def _make_next_epoch(state):
    return LeaseValue(
        holder=state.name,
        incarnation=state.incarnation,
        epoch=state.epoch + 1,
        duration_ms=state.duration_ms,
    )
