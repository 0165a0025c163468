"""Rotation of the keys that authenticate flow tokens.

A new key is distributed first and seals tokens only once every balancer
holds it.  An old key opens tokens for longer than any flow lasts.
"""

from attrs import evolve
from attrs import frozen

from liftmount._internal.decisions.token import KeyRing
from liftmount._internal.models.objects import FlowKey
from liftmount._internal.models.objects import FlowKeys


@frozen
class RotationTimes:
    """Age at which a key is replaced, and how long it still opens tokens."""

    rotation_ms: int
    overlap_ms: int


def decide(
    keys: FlowKeys | None,
    times: RotationTimes,
    is_in_force: bool,
    secret_hex: str,
    wall_ms: int,
) -> FlowKeys | None:
    """Return the keys to write, or None if there is nothing to change.

    ``secret_hex`` is fresh random material for a new key, and
    ``is_in_force`` is whether every balancer holds ``keys``.
    """
    if keys is None:
        first = FlowKey(1, secret_hex, wall_ms)
        return FlowKeys(current=1, keys=[first])
    newest = max(keys.keys, key=lambda key: key.id)
    if newest.id != keys.current:
        return evolve(keys, current=newest.id) if is_in_force else None
    if wall_ms - newest.created_wall_ms < times.rotation_ms:
        return None
    kept = _select_opening_keys(keys.keys, times.overlap_ms, wall_ms)
    added = FlowKey(newest.id + 1, secret_hex, wall_ms)
    return FlowKeys(current=keys.current, keys=[*kept, added])


def _select_opening_keys(keys, overlap_ms, wall_ms):
    """Return the keys that sealed a token within the overlap.

    A key seals tokens until its successor is created.
    """
    ordered = sorted(keys, key=lambda key: key.id)
    kept = [
        key
        for key, successor in zip(ordered, ordered[1:], strict=False)
        if wall_ms - successor.created_wall_ms < overlap_ms
    ]
    return [*kept, ordered[-1]]


def make_ring(keys: FlowKeys | None) -> KeyRing:
    """Return the key ring for ``keys``; without keys it is empty."""
    if keys is None:
        return KeyRing()
    secrets = {key.id: bytes.fromhex(key.secret_hex) for key in keys.keys}
    current = keys.current if keys.current in secrets else None
    return KeyRing(secrets, current)
