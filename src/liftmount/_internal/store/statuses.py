"""Reads the status objects of failure domains."""

from liftmount._internal.models.objects import DomainStatus
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.store.interface import StoreClient
from liftmount._internal.utils.documents import structure


async def read_statuses(store: StoreClient) -> list[DomainStatus]:
    """Return the status of each failure domain."""
    listing = await store.list(ObjectKind.STATUS.value)
    return [
        structure(item.value, DomainStatus, item.key) for item in listing.items
    ]
