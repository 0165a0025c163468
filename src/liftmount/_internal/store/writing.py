"""Conditional writes that tolerate a lost answer."""

from liftmount._internal.exceptions import ConflictError
from liftmount._internal.exceptions import PlatformUnavailableError
from liftmount._internal.store.interface import StoreClient


async def write_and_resolve(
    store: StoreClient, key: str, value: dict, expected_version: int
) -> int:
    """Write conditionally and return the new version.

    If the answer is lost, the object is read back to find out whether the
    write took effect, so ``value`` should be unique to this write, such as
    by a nonce.  Raises ConflictError if another writer was first, and
    PlatformUnavailableError if the outcome is unknown.
    """
    try:
        return await store.put(key, value, expected_version)
    except PlatformUnavailableError as error:
        failure = error
    except ConflictError as conflict:
        # The conflicting write may be an earlier attempt of this one.
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
