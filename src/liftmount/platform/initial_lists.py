"""The first lists of the store, read without blocking.

A starting balancer requests them before its event loop is imported.  Lists
that are incomplete by then are passed to the feeds, which also repeat those
that failed.
"""

from httptools import HttpParserError
from httptools import HttpResponseParser

from liftmount._internal.clock import Clock
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.records import evolve
from liftmount._internal.network.http_messages import encode_request
from liftmount._internal.network.http_messages import HTTP_OK
from liftmount._internal.network.http_messages import HttpMessage
from liftmount._internal.network.http_messages import READ_BYTES
from liftmount._internal.utils.raw_sockets import make_socket
from liftmount._internal.utils.raw_sockets import SOCK_STREAM
from liftmount.platform.documents import list_path
from liftmount.platform.documents import ListPages
from liftmount.platform.documents import read_document
from liftmount.platform.feeds import decode_all
from liftmount.platform.feeds import make_unnamed_recorder


class InitialList:
    """A list of one kind, read page by page over its own connection.

    ``read`` and ``record_problems`` are those of a StoreFeed.  Stale pages
    are accepted: the watch that follows starts at their revision.
    """

    def __init__(
        self,
        address: Endpoint,
        clock: Clock,
        kind: str,
        read,
        record_problems,
    ):
        self._address = address
        self._clock = clock
        self._kind = kind
        self._read = read
        self._record_problems = record_problems
        self._pages = ListPages(kind, make_unnamed_recorder(record_problems))
        self._after = ''
        self.is_request_sent = False
        self.socket = make_socket(SOCK_STREAM)
        self.socket.connect_ex(address.socket_address())

    def advance(self) -> Listing | None:
        """Send and receive without blocking; return the complete list.

        Returns None if ``socket`` has to become writable first, or readable
        once ``is_request_sent`` is true.  Raises PlatformError if the list
        can't be read.
        """
        try:
            if not self.is_request_sent:
                self._send_request()
            return self._receive()
        except BlockingIOError:
            return None
        except (OSError, HttpParserError) as error:
            raise PlatformError(f'{self._kind}: {error!r}') from error

    def _send_request(self):
        self._message = HttpMessage()
        self._parser = HttpResponseParser(self._message)
        self._path = list_path(self._kind, self._after, may_lag=True)
        # Short enough to fit the send buffer of an idle connection whole.
        self.socket.send(encode_request('GET', self._path, self._address))
        self.is_request_sent = True
        self._began_ms = None

    def _receive(self):
        while True:
            data = self.socket.recv(READ_BYTES)
            if not data:
                raise PlatformError(
                    f'{self._path}: connection closed before a response'
                )
            if self._began_ms is None:
                self._began_ms = self._clock.now_ms()
            self._parser.feed_data(data)
            if self._message.is_complete and self._add_page():
                return self._make_listing()

    def _add_page(self) -> bool:
        """Add the page received; return whether it was the last one."""
        status = self._parser.get_status_code()
        if status != HTTP_OK:
            raise PlatformError(f'{self._path}: status {status}')
        body = bytes(self._message.body)
        page = read_document(self._path, body)
        self._after = self._pages.add(page, self._began_ms, len(body))
        if not self._after:
            return True
        self._send_request()
        return False

    def _make_listing(self):
        stored = self._pages.listing(self._clock.now_ms())
        decoded = decode_all(stored.items, self._read, self._record_problems)
        return evolve(stored, items=decoded.accepted, may_lag=True)
