"""Client of the platform's store: paged lists, watches, writes."""

import json
from urllib.parse import unquote

from attrs import frozen

from liftmount._internal.clock import Clock
from liftmount._internal.exceptions import ConflictError
from liftmount._internal.exceptions import HistoryGoneError
from liftmount._internal.exceptions import HttpError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.exceptions import PlatformUnavailableError
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.records import evolve
from liftmount._internal.network.http import HttpConnection
from liftmount._internal.network.http_messages import HTTP_BAD_REQUEST
from liftmount._internal.network.http_messages import HTTP_CONFLICT
from liftmount._internal.network.http_messages import HTTP_GONE
from liftmount._internal.network.http_messages import HTTP_NOT_FOUND
from liftmount._internal.network.http_messages import HTTP_SERVER_ERROR
from liftmount._internal.network.http_messages import HTTP_TOO_MANY_REQUESTS
from liftmount.platform.documents import list_path
from liftmount.platform.documents import ListPages
from liftmount.platform.documents import object_path
from liftmount.platform.documents import read_changes
from liftmount.platform.documents import read_document
from liftmount.platform.documents import read_object

# Default time within which a response has to begin.
# It takes 4 ms, and some 400 ms if the store is slow.
TIMEOUT_MS = 2_000
# Time allowed for the response to a watch beyond the wait it asks for.
WATCH_MARGIN_MS = 2_000


@frozen
class _Reply:
    """The document of a response, the time it took to arrive, its size."""

    document: dict
    transfer_ms: int
    size_bytes: int


class PlatformStore:
    """Client that calls the first address of the store that responds.

    Implements ``_internal.store.interface.StoreClient``.  ``count()`` is
    called for each HTTP request.  Concurrent calls use separate connections,
    which are kept for later calls.  ``report(error)`` is called for items of
    lists and watches without a valid name.
    """

    def __init__(
        self,
        addresses,
        timeout_ms: float = TIMEOUT_MS,
        count=None,
        local_ip: str = '',
        report=None,
    ):
        self._addresses = list(addresses)
        self._timeout_ms = timeout_ms
        self._count = count
        self._local_ip = local_ip
        self._report = report or (lambda _error: None)
        self._clock = Clock()
        self._idle = []
        self._in_use = set()
        self.calls = 0

    def set_addresses(self, addresses) -> None:
        """Replace the addresses; this closes all connections."""
        self._addresses = list(addresses)
        self.close()

    def close(self) -> None:
        """Close all connections, also those of calls in progress."""
        for connection in [*self._idle, *self._in_use]:
            connection.close()
        self._idle.clear()

    # Reading.

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, None if it does not exist."""
        reply = await self._call('GET', object_path(key))
        if reply is None:
            return None
        return read_object(_kind(key), reply.document)

    async def list(
        self,
        kind: str,
        may_lag: bool = False,
        timeout_ms: float | None = None,
    ) -> Listing:
        """Return all StoredObjects of a kind.

        The response for each page has to begin within ``timeout_ms``.
        """
        pages = ListPages(kind, self._report)
        after = ''
        while True:
            path = list_path(kind, after, may_lag)
            page = await self._read(path, timeout_ms)
            now_ms = self._clock.now_ms()
            began_ms = now_ms - page.transfer_ms
            after = pages.add(page.document, began_ms, page.size_bytes)
            if not after:
                return pages.listing(now_ms)

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_ms: int,
        timeout_ms: float | None = None,
    ) -> Delta:
        """Return the changes to a kind since ``revision``, if any.

        The store waits up to ``wait_ms`` for a change.  The response has to
        begin within ``timeout_ms``.  Raises HistoryGoneError if the store no
        longer has the changes since ``revision``.
        """
        query = {'watch': revision, 'wait_ms': wait_ms}
        limit_ms = timeout_ms or wait_ms + WATCH_MARGIN_MS
        page = await self._read(object_path(kind, query), limit_ms)
        delta = read_changes(kind, page.document, revision, self._report)
        return evolve(delta, age_ms=page.transfer_ms)

    async def _read(self, path, timeout_ms):
        page = await self._call('GET', path, timeout_ms)
        if page is None:
            raise PlatformError(f'{path}: not found')
        return page

    # Writing.

    async def put(self, key: str, value: dict, expected_version: int) -> int:
        """Write an object; return its new version.

        Raises ConflictError if its version is not ``expected_version``, which
        is 0 for an object to create.
        """
        if expected_version == 0:
            name = key.partition('/')[2]
            document = {'meta': {'name': name}, 'spec': value}
            response = await self._call(
                'POST', object_path(_kind(key)), body=document
            )
        else:
            meta = {'revision': expected_version}
            document = {'meta': meta, 'spec': value}
            response = await self._call('PUT', object_path(key), body=document)
        if response is None:
            # Deleted since its version was read.
            raise ConflictError(key, None)
        return read_object(_kind(key), response.document).version

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object.

        Raises ConflictError if its version is not ``expected_version``.
        """
        query = {'revision': expected_version}
        if await self._call('DELETE', object_path(key, query)) is None:
            raise ConflictError(key, None)

    # Calls.

    async def _call(self, method, path, timeout_ms=None, body=None):
        """Return the reply, None if the object does not exist."""
        failure = None
        for address in list(self._addresses):
            self.calls += 1
            if self._count is not None:
                self._count()
            try:
                response = await self._exchange(
                    address, method, path, timeout_ms, body
                )
            except HttpError as error:
                failure = error
                self._addresses.append(self._addresses.pop(0))
                if method != 'GET':
                    # It may have taken effect, so it is not repeated.
                    break
                continue
            document = _check_response(method, path, response)
            if document is None:
                return None
            return _Reply(document, response.transfer_ms, len(response.body))
        raise PlatformUnavailableError(str(failure)) from failure

    async def _exchange(self, address, method, path, timeout_ms, body):
        connection = self._idle.pop() if self._idle else None
        if connection is None or connection.address != address:
            if connection is not None:
                connection.close()
            connection = HttpConnection(address, self._local_ip)
        self._in_use.add(connection)
        data = b'' if body is None else json.dumps(body).encode()
        limit_ms = timeout_ms or self._timeout_ms
        try:
            return await connection.request(method, path, limit_ms, data)
        finally:
            self._in_use.discard(connection)
            self._idle.append(connection)


def _kind(key):
    return key.partition('/')[0]


def _check_response(method, path, response):
    status = response.status
    if status == HTTP_NOT_FOUND:
        return None
    if status == HTTP_GONE:
        raise HistoryGoneError(f'{path}: status {status}')
    if status == HTTP_TOO_MANY_REQUESTS or status >= HTTP_SERVER_ERROR:
        raise PlatformUnavailableError(f'{method} {path}: status {status}')
    document = read_document(path, response.body)
    if status == HTTP_CONFLICT:
        kind, _slash, name = path.removeprefix('/objects/').partition('/')
        current = read_object(kind, document)
        key = f'{kind}/{unquote(name.partition("?")[0])}'
        raise ConflictError(key, current)
    if status >= HTTP_BAD_REQUEST:
        raise PlatformError(f'{method} {path}: status {status}')
    return document
