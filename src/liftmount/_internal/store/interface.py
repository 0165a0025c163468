"""Protocol of an object store's client."""

from typing import Protocol

from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import StoredObject


class StoreClient(Protocol):
    """A client of a store of versioned objects, whose values are dicts.

    Versions come from one counter for all objects.  ``calls`` counts the
    calls made.  Each call raises PlatformUnavailableError when there was
    no usable answer; a write may then have taken effect, or may still do
    so.
    """

    calls: int

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    async def list(self, kind: str) -> Listing:
        """Return all StoredObjects of a kind and the revision of the list."""

    async def watch(self, kind: str, revision: int, wait_ms: int) -> Delta:
        """Return the changes of a kind after a revision, possibly none.

        Waits up to ``wait_ms`` for a change.  ``written`` holds
        StoredObjects.  Raises HistoryGoneError if the store no longer has
        the history since then; the kind must then be listed again.
        """

    async def put(self, key: str, value: dict, expected_version: int) -> int:
        """Write an object if its version still is ``expected_version``.

        Version 0 means that the object must not exist.  Returns the new
        version; raises ConflictError if the versions differ.
        """

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object if its version is ``expected_version``."""

    def close(self) -> None:
        """Close all connections."""
