"""Messages of HTTP/1.1, for whoever moves their bytes.

httptools reads them; nothing here waits, so that a balancer can call the
store before an event loop is imported.
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
# The store lists about 1 MB at once, and holds values of up to 1 MB.
MAX_BODY_BYTES = 16 * 1_048_576


@frozen
class HttpAnswer:
    """Status, headers with lower-case names, and the whole body.

    ``transfer_ms`` is how long it took to arrive, from its first byte on.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    transfer_ms: int = 0


class HttpMessage:
    """Collects one message as a parser of httptools calls back."""

    def __init__(self):
        self.target = ''
        self.headers = {}
        self.body = bytearray()
        self.is_complete = False

    def on_url(self, url: bytes) -> None:
        """Take over a part of the target of a request."""
        self.target += url.decode('latin-1')

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take over a header."""
        self.headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Take over a part of the body."""
        self.body += body
        if len(self.body) > MAX_BODY_BYTES:
            raise ConnectionAbortedError('the body is too long')

    def on_message_complete(self) -> None:
        """Note that the message is whole."""
        self.is_complete = True


def encode_request(
    method: str, target: str, address: Endpoint, body: bytes = b''
) -> bytes:
    """Return a whole request; a body is JSON."""
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
