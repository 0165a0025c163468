"""Rotation of the keys that seal flow tokens.

A new key is spread first and used only once every balancer can open its
tokens; an old one goes on opening tokens for longer than any flow lasts.
"""

from attrs import evolve
from attrs import frozen

from liftmount._internal.decisions.token import KeyRing
from liftmount._internal.models.objects import FlowKey
from liftmount._internal.models.objects import FlowKeys


@frozen
class RotationTimes:
    """Age at which a key is replaced, and how long it opens tokens."""

    rotation_ms: int
    overlap_ms: int


def decide(
    keys: FlowKeys | None,
    times: RotationTimes,
    is_in_force: bool,
    secret_hex: str,
    wall_ms: int,
) -> FlowKeys | None:
    """Return the keys to be written, or None when nothing is due.

    ``secret_hex`` is fresh random material for a new key, and
    ``is_in_force`` tells whether every balancer holds ``keys``.
    """
    if keys is None:
        first = FlowKey(1, secret_hex, wall_ms)
        return FlowKeys(current=1, keys=[first])
    newest = max(keys.keys, key=lambda one: one.id)
    if newest.id != keys.current:
        return evolve(keys, current=newest.id) if is_in_force else None
    if wall_ms - newest.created_wall_ms < times.rotation_ms:
        return None
    kept = _select_opening_keys(keys.keys, times.overlap_ms, wall_ms)
    added = FlowKey(newest.id + 1, secret_hex, wall_ms)
    return FlowKeys(current=keys.current, keys=[*kept, added])


def _select_opening_keys(keys, overlap_ms, wall_ms):
    """Return the keys that sealed a token within the overlap.

    A key sealed its last token when its successor came.
    """
    ordered = sorted(keys, key=lambda one: one.id)
    kept = [
        one
        for one, successor in zip(ordered, ordered[1:], strict=False)
        if wall_ms - successor.created_wall_ms < overlap_ms
    ]
    return [*kept, ordered[-1]]


def make_ring(keys: FlowKeys | None) -> KeyRing:
    """Return the ring that opens and seals tokens."""
    if keys is None:
        return KeyRing()
    secrets = {one.id: bytes.fromhex(one.secret_hex) for one in keys.keys}
    current = keys.current if keys.current in secrets else None
    return KeyRing(secrets, current)
