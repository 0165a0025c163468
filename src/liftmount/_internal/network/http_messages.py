"""HTTP/1.1 messages, independent of how their bytes are transferred.

There is no I/O here, so that a balancer can call the store before it
imports asyncio.
"""

from attrs import frozen

from liftmount._internal.models.addresses import Endpoint

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
USER_AGENT = 'liftmount'
READ_BYTES = 65_536
# Well above the store's limits on a page and on a value.
MAX_BODY_BYTES = 16 * 1_048_576


@frozen
class HttpAnswer:
    """A response: status, headers with lower-case names, whole body.

    ``transfer_ms`` is the time from its first to its last byte.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    transfer_ms: int = 0


class HttpMessage:
    """Collects one message from the callbacks of an httptools parser."""

    def __init__(self):
        self.target = ''
        self.headers = {}
        self.body = bytearray()
        self.is_complete = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url.decode('latin-1')

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Append a part of the body.

        Raises ConnectionAbortedError above ``MAX_BODY_BYTES``.
        """
        self.body += body
        if len(self.body) > MAX_BODY_BYTES:
            raise ConnectionAbortedError('the body is too long')

    def on_message_complete(self) -> None:
        """Mark the message as complete."""
        self.is_complete = True


def encode_request(
    method: str, target: str, address: Endpoint, body: bytes = b''
) -> bytes:
    """Return the bytes of a request; the body is JSON if there is one."""
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {address}',
        f'User-Agent: {USER_AGENT}',
    ]
    if body:
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join([*lines, '', '']).encode('latin-1')
    return head + body
