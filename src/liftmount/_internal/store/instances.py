"""Reads the instance list: the store's objects that describe instances.

The platform maintains the list, with some delay.
"""

from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.objects import BALANCER_ROLE
from liftmount._internal.models.objects import InstanceEntry
from liftmount._internal.models.objects import LIVE_STATE
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.store.interface import StoreClient
from liftmount._internal.utils.documents import structure


def read_instance(item: StoredObject) -> InstanceEntry:
    """Parse an entry of the list; raises ConfigurationError."""
    return structure(
        {'name': item.name, **item.value}, InstanceEntry, item.key
    )


async def read_instances(store: StoreClient) -> list[InstanceEntry]:
    """Return all entries of the list."""
    listing = await store.list(ObjectKind.INSTANCE.value)
    return [read_instance(item) for item in listing.items]


async def read_live_domains(store: StoreClient) -> set[str]:
    """Return the failure domains that have live balancers."""
    return {
        entry.failure_domain
        for entry in await read_instances(store)
        if entry.role == BALANCER_ROLE and entry.state == LIVE_STATE
    }
