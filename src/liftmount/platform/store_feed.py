"""Feeds that list and watch objects of the platform's store."""

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.entry_settings import EntrySettings
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.records import evolve
from liftmount._internal.utils.metrics import Metrics
from liftmount.platform.feeds import decode_all
from liftmount.platform.feeds import make_unnamed_recorder
from liftmount.platform.feeds import SOURCES
from liftmount.platform.objects import EVACUATION_KIND
from liftmount.platform.store import PlatformStore


class StoreFeed:
    """Lists and watches the objects of one kind over its own connection.

    ``read`` and ``record_problems`` are as in decode_all.  An invalid object
    is treated as missing.
    """

    def __init__(self, store: PlatformStore, kind: str, read, record_problems):
        self._store = store
        self._kind = kind
        self._read = read
        self._record_problems = record_problems

    async def fetch(self, may_lag: bool, timeout_ms: float) -> Listing:
        """Return all valid objects of the kind; raises PlatformError."""
        listing = await self._store.list(self._kind, may_lag, timeout_ms)
        decoded = self._decode(listing.items)
        return evolve(listing, items=decoded.accepted, may_lag=may_lag)

    async def watch(
        self, revision: int, wait_ms: int, timeout_ms: float
    ) -> Delta:
        """Return the changes since ``revision``, if any.

        Objects that have become invalid are among the removed ones.  Raises
        HistoryGoneError if the store no longer has the changes since
        ``revision``, and PlatformError if the call fails.
        """
        delta = await self._store.watch(
            self._kind, revision, wait_ms, timeout_ms
        )
        decoded = self._decode(delta.written)
        for name in delta.removed:
            self._record_problems(f'{self._kind}/{name}', delta.revision, ())
        return evolve(
            delta,
            written=decoded.accepted,
            removed=(*delta.removed, *decoded.rejected),
        )

    def set_address(self, address: Endpoint) -> None:
        """Replace the address of the store; this closes the connection."""
        self._store.set_addresses([address])

    def close(self) -> None:
        """Close the connection."""
        self._store.close()

    def _decode(self, stored):
        return decode_all(stored, self._read, self._record_problems)


class StoreProbe:
    """Asks the store for its shortest list, which may lag."""

    def __init__(self, store: PlatformStore):
        self._store = store

    async def ask(self, timeout_ms: float) -> None:
        """Return once the store has answered; raises PlatformError."""
        await self._store.list(EVACUATION_KIND, True, timeout_ms)

    def set_address(self, address: Endpoint) -> None:
        """Replace the address of the store; this closes the connection."""
        self._store.set_addresses([address])

    def close(self) -> None:
        """Close the connection."""
        self._store.close()


def make_probe(settings: EntrySettings, metrics: Metrics) -> StoreProbe:
    """Return what asks whether the store answers."""
    store = PlatformStore(
        [settings.store], count=lambda: metrics.count('store_calls.probe')
    )
    return StoreProbe(store)


def make_feeds(
    settings: EntrySettings, record_problems, metrics: Metrics
) -> dict:
    """Return the feeds by name.

    ``record_problems`` is as in decode_all.
    """

    def feed(kind, read):
        store = PlatformStore(
            [settings.store],
            count=lambda: metrics.count(f'store_calls.{kind}'),
            report=make_unnamed_recorder(record_problems),
        )
        return StoreFeed(store, kind, read, record_problems)

    return {name: feed(*source) for name, source in SOURCES.items()}
