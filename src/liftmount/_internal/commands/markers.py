"""Objects whose being there is all they say: a drain, an evacuation."""

from liftmount._internal.cli.base import STATUS_OK
from liftmount._internal.store.writing import write_and_resolve


async def create_marker(store, key: str, value: dict, state: str) -> int:
    """Write a mark, and say that its subject is in a state now."""
    name = key.partition('/')[2]
    if await store.get(key) is not None:
        print(f'{name}: is {state} already.')
        return STATUS_OK
    version = await write_and_resolve(store, key, value, 0)
    print(f'{name}: {state} by version {version}.')
    return STATUS_OK


async def delete_marker(store, key: str, state: str, result: str) -> int:
    """Delete a mark, and say that its subject has ``result`` the state."""
    name = key.partition('/')[2]
    found = await store.get(key)
    if found is None:
        print(f'{name}: is not {state}.')
        return STATUS_OK
    await store.delete(key, found.version)
    print(f'{name}: {result}.')
    return STATUS_OK
