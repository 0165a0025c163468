"""Client of the platform's store: lists in pages, and watches."""

import json

from attrs import frozen

from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.exceptions import HttpError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.exceptions import PlatformUnavailableError
from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.entry_settings import EntrySettings
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.network.http import HTTP_GONE
from liftmount._internal.network.http import HTTP_OK
from liftmount._internal.network.http import HttpConnection
from liftmount.platform.objects import CONFIGURATION_KIND
from liftmount.platform.objects import read_routes
from liftmount.platform.objects import read_target
from liftmount.platform.objects import TARGET_KIND


@frozen
class StoredObject:
    """One object as the store holds it, ``spec`` not yet read."""

    name: str
    spec: object
    is_gone: bool = False


class StoreFeed:
    """Follows the objects of one kind over a connection of its own.

    ``read(name, spec)`` turns an object into a type of the project and
    raises StoredObjectError; ``report(error)`` hears of what it refused.
    """

    def __init__(self, address: Endpoint, kind: str, read, report, metrics):
        self._connection = HttpConnection(address)
        self._kind = kind
        self._read = read
        self._report = report
        self._metrics = metrics

    async def fetch(self, may_lag: bool, timeout_ms: float) -> Listing:
        """Return all objects of the kind; raises PlatformError."""
        items = []
        after = ''
        while True:
            query = f'?after={after}' if after else '?'
            if may_lag:
                query += '&allow_stale=1'
            page = await self._call(query, timeout_ms)
            stored, listing = self.read_list(page)
            items += listing.items
            if not page.get('more_pages') or not stored:
                return Listing(tuple(items), listing.revision)
            after = stored[-1].name

    def read_list(self, page: dict) -> tuple[list[StoredObject], Listing]:
        """Read one page of a list; raises PlatformError."""
        stored = [_stored(one) for one in _list(page, 'items')]
        return stored, Listing(tuple(self._decode(stored)), _revision(page))

    async def watch(
        self, revision: int, wait_ms: int, timeout_ms: float
    ) -> Delta:
        """Return what changed since a revision, maybe nothing.

        Raises HistoryGoneError when the store forgot what lies between.
        """
        query = f'?watch={revision}&wait_ms={wait_ms}'
        page = await self._call(query, timeout_ms)
        return self.read_changes(page, revision)

    def read_changes(self, page: dict, base: int = 0) -> Delta:
        """Read the answer of a watch; raises PlatformError."""
        events = [_event(one) for one in _list(page, 'events')]
        # Only the last state of each object matters.
        latest = {one.name: one for one in events}
        written = [one for one in latest.values() if not one.is_gone]
        removed = [one.name for one in latest.values() if one.is_gone]
        return Delta(
            tuple(self._decode(written)),
            tuple(removed),
            _revision(page),
            base,
        )

    def set_address(self, address: Endpoint) -> None:
        """Call another address from the next call on."""
        self._connection.address = address
        self._connection.close()

    def close(self) -> None:
        """Drop the connection."""
        self._connection.close()

    async def _call(self, query, timeout_ms):
        path = f'/objects/{self._kind}{query}'.rstrip('?').replace('?&', '?')
        self._metrics.count(f'store_calls.{self._kind}')
        try:
            answer = await self._connection.request('GET', path, timeout_ms)
        except HttpError as error:
            raise PlatformUnavailableError(str(error)) from error
        if answer.status == HTTP_GONE:
            raise HistoryGoneError(f'{path}: status {answer.status}')
        if answer.status != HTTP_OK:
            raise PlatformUnavailableError(f'{path}: status {answer.status}')
        try:
            page = json.loads(answer.body)
        except ValueError as error:
            raise PlatformError(f'{path}: not JSON: {error}') from error
        if type(page) is not dict:
            raise PlatformError(f'{path}: expected fields')
        return page

    def _decode(self, stored):
        decoded = []
        for one in stored:
            try:
                decoded.append(self._read(one.name, one.spec))
            except StoredObjectError as error:
                self._report(error)
        return decoded


def make_feeds(settings: EntrySettings, report, metrics) -> dict:
    """Return the feeds of routes and targets by name."""
    return {
        ROUTES: StoreFeed(
            settings.store, CONFIGURATION_KIND, read_routes, report, metrics
        ),
        TARGETS: StoreFeed(
            settings.store, TARGET_KIND, read_target, report, metrics
        ),
    }


def _list(page, field):
    value = page.get(field, [])
    if type(value) is not list:
        raise PlatformError(f'{field}: expected a list')
    return value


def _revision(page):
    """Return the revision of the store when it answered."""
    value = page.get('current_rev')
    if type(value) is not int:
        raise PlatformError(f'current_rev = {value!r}: expected a number')
    return value


def _stored(document):
    try:
        name = document['meta']['name']
    except (KeyError, TypeError) as error:
        raise PlatformError(f'an object without a name: {error!r}') from error
    if type(name) is not str:
        raise PlatformError(f'name = {name!r}: expected a text')
    return StoredObject(name, document.get('spec'))


def _event(document):
    if type(document) is not dict:
        raise PlatformError('an event without fields')
    stored = _stored(document.get('object'))
    return StoredObject(
        stored.name, stored.spec, bool(document.get('tombstone'))
    )
