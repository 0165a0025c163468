"""Reads what failure domains report."""

from liftmount._internal.models.objects import DomainStatus
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.platform.client import PlatformClient
from liftmount._internal.utils.documents import structure


async def read_statuses(client: PlatformClient) -> list[DomainStatus]:
    """Return the status of each failure domain."""
    listing = await client.list([ObjectKind.STATUS])
    return [
        structure(item.value, DomainStatus, item.key)
        for item in listing.objects
        if item.value is not None
    ]
