"""Marker objects: a drain or an evacuation lasts while its object exists."""

from liftmount._internal.cli.base import STATUS_OK
from liftmount._internal.store.writing import write_and_resolve


async def create_marker(store, key: str, value: dict, state: str) -> int:
    """Create a marker object, unless it exists, and print the new state.

    ``state`` is the printed name of the state, such as 'drained'.
    """
    name = key.partition('/')[2]
    if await store.get(key) is not None:
        print(f'{name}: is {state} already.')
        return STATUS_OK
    version = await write_and_resolve(store, key, value, 0)
    print(f'{name}: {state} by version {version}.')
    return STATUS_OK


async def delete_marker(store, key: str, state: str, result: str) -> int:
    """Delete a marker object, if it exists, and print the result.

    ``result`` is the printed result, such as 'restored'.
    """
    name = key.partition('/')[2]
    found = await store.get(key)
    if found is None:
        print(f'{name}: is not {state}.')
        return STATUS_OK
    await store.delete(key, found.version)
    print(f'{name}: {result}.')
    return STATUS_OK
