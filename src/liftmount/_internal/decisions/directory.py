"""Directory of targets, from their entries in the store.

An entry is removed either because the target has ended or because the entry
lapsed while the store was down.  Unless the target was draining, a removed
entry therefore counts as missing for a while, in which a live target writes
it again.  A missing target is the last choice for new flows, unless the
store had failed just before.
"""

from attrs import define
from attrs import Factory

from liftmount._internal.models.feeds import Expiring
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount._internal.models.records import Tick
from liftmount._internal.models.segments import TargetEntry

# Live targets write their entries within two seconds of the store's return;
# the rest is the delay of a watch.
MISSING_GRACE_MS = 2_500


@message
class TargetsListed(Message):
    """All entries as of ``revision``, from the store or a peer.

    A peer also sends the entries that it holds as ``missing``.
    """

    entries: tuple[TargetEntry, ...]
    revision: int
    now_ms: int
    missing: tuple[Expiring, ...] = ()


@message
class TargetsChanged(Message):
    """Entries written and names removed up to ``revision``, oldest first."""

    written: tuple[TargetEntry, ...]
    removed: tuple[str, ...]
    revision: int
    now_ms: int


@message
class StoreLost(Message):
    """A call to the store got no usable answer."""

    now_ms: int


@message
class EntryUpdated(Message):
    """The entry of a target is new or has changed."""

    entry: TargetEntry


@message
class EntryMissing(Message):
    """The entry of a target is missing and may be written again."""

    entry: TargetEntry


@message
class EntryRemoved(Message):
    """A target has ended: its entry was removed."""

    entry: TargetEntry


@define
class DirectoryState:
    """Entries of targets by name, those that are missing included.

    ``missing`` maps names to the time at which a missing entry is removed.
    Removals before ``trusted_from_ms`` may be lapses.
    """

    entries: dict[str, TargetEntry] = Factory(dict)
    missing: dict[str, int] = Factory(dict)
    revision: int = 0
    trusted_from_ms: int = 0

    def listed(self) -> tuple[TargetEntry, ...]:
        """Return the entries that are in the store."""
        return tuple(
            entry
            for name, entry in self.entries.items()
            if name not in self.missing
        )

    def missing_entries(self, now_ms: int) -> tuple[Expiring, ...]:
        """Return the missing entries, with the time left to each."""
        return tuple(
            Expiring(self.entries[name], max(0, until_ms - now_ms))
            for name, until_ms in self.missing.items()
        )


def decide(state: DirectoryState, event) -> list:
    """Return the entries updated, missing and removed by an event."""
    match event:
        case TargetsListed():
            return _on_listed(state, event)
        case TargetsChanged():
            return _on_changed(state, event)
        case StoreLost():
            state.trusted_from_ms = event.now_ms + MISSING_GRACE_MS
            return []
        case Tick():
            return _expire(state, event.now_ms)
    raise TypeError(f'unknown event {event!r}')


def _on_listed(state, event):
    # A list of a lagging replica must not revert anything.
    if event.revision < state.revision:
        return []
    state.revision = event.revision
    actions = []
    for entry in event.entries:
        actions += _on_written(state, entry)
    present = {entry.name for entry in event.entries}
    for name in [one for one in state.entries if one not in present]:
        actions += _on_removed(state, name, event.now_ms)
    for expiring in event.missing:
        actions += _add_missing(state, expiring, event.now_ms)
    return actions


def _add_missing(state, expiring, now_ms):
    """Hold an entry that a peer misses as missing, for no longer than it."""
    name = expiring.entry.name
    until_ms = now_ms + expiring.left_ms
    if name in state.missing:
        state.missing[name] = min(state.missing[name], until_ms)
        return []
    if name in state.entries:
        return []
    state.entries[name] = expiring.entry
    state.missing[name] = until_ms
    return [EntryMissing(expiring.entry)]


def _on_changed(state, event):
    is_late = event.revision < state.revision
    state.revision = max(state.revision, event.revision)
    actions = []
    for entry in event.written:
        if is_late and _is_other_start(state, entry):
            # From an earlier start of the target, whose flows are lost.
            continue
        actions += _on_written(state, entry)
    for name in event.removed:
        actions += _on_removed(state, name, event.now_ms)
    return actions


def _is_other_start(state, entry):
    known = state.entries.get(entry.name)
    return known is not None and entry.is_other_start(known)


def _on_written(state, entry):
    was_missing = state.missing.pop(entry.name, None) is not None
    if state.entries.get(entry.name) == entry and not was_missing:
        return []
    state.entries[entry.name] = entry
    return [EntryUpdated(entry)]


def _on_removed(state, name, now_ms):
    entry = state.entries.get(name)
    if entry is None or name in state.missing:
        return []
    if entry.draining:
        return _remove(state, name)
    state.missing[name] = now_ms + MISSING_GRACE_MS
    if now_ms < state.trusted_from_ms:
        return []
    return [EntryMissing(entry)]


def _remove(state, name):
    state.missing.pop(name, None)
    entry = state.entries.pop(name)
    return [EntryRemoved(entry)]


def _expire(state, now_ms):
    actions = []
    for name, until_ms in list(state.missing.items()):
        # Another failure of the store may have extended the time.
        if now_ms >= max(until_ms, state.trusted_from_ms):
            actions += _remove(state, name)
    return actions
