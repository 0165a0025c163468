"""What the product needs of a store of objects."""

from typing import Protocol

from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import StoredObject


class ObjectStore(Protocol):
    """A client of a store; its objects are dicts with a version.

    Versions come from one counter for all objects.  Each call raises
    PlatformUnavailableError when no usable answer came; after a write
    this means that it may have taken effect, now or later.
    """

    calls: int

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None when there is none."""

    async def list(self, kind: str) -> Listing:
        """Return all StoredObjects of a kind, and as of which revision."""

    async def watch(self, kind: str, revision: int, wait_ms: int) -> Delta:
        """Return what changed in a kind after a revision, maybe nothing.

        ``written`` holds StoredObjects.  Raises HistoryGoneError when the
        store no longer knows; then the kind has to be listed again.
        """

    async def put(self, key: str, value: dict, expected_version: int) -> int:
        """Write an object if its version still is ``expected_version``.

        Version 0 stands for an object that does not exist.  Returns the
        new version; raises ConflictError when another writer was first.
        """

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object if its version is ``expected_version``."""

    def close(self) -> None:
        """Drop all connections."""
