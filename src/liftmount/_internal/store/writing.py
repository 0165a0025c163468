"""Conditional writes whose answer may be lost."""

from liftmount._internal.exceptions import ConflictError
from liftmount._internal.exceptions import PlatformUnavailableError
from liftmount._internal.store.interface import ObjectStore


async def write_and_resolve(
    store: ObjectStore, key: str, value: dict, expected_version: int
) -> int:
    """Write conditionally; a lost answer is resolved by reading back.

    ``value`` should hold something that no other writer writes, such as a
    nonce.  Raises ConflictError when another writer was first, and
    PlatformUnavailableError when the outcome could not be learnt.
    """
    try:
        return await store.put(key, value, expected_version)
    except PlatformUnavailableError as error:
        failure = error
    except ConflictError as conflict:
        # A repeated attempt may meet its own first write.
        if conflict.current is not None and conflict.current.value == value:
            return conflict.current.version
        raise
    current = await store.get(key)
    if current is not None and current.value == value:
        return current.version
    version = current.version if current is not None else 0
    if version != expected_version and expected_version != 0:
        raise ConflictError(key, current)
    if expected_version == 0 and current is not None:
        raise ConflictError(key, current)
    raise failure
