"""Serves the readiness check of the fabric."""

from liftmount._internal.kernel import Service
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.network.http import HttpServer
from liftmount._internal.network.http_messages import HTTP_NOT_FOUND
from liftmount._internal.network.http_messages import HTTP_OK
from liftmount._internal.network.http_messages import HTTP_UNAVAILABLE
from liftmount._internal.network.http_messages import HttpAnswer


class ReadinessService(Service):
    """HTTP server for the readiness check at ``path``.

    ``bound`` is a socket that already listens at the address, or None.
    ``get_reason()`` returns why the balancer is not ready, or '' if it is.
    """

    name = 'readiness'

    def __init__(
        self, kernel, address: Endpoint, bound, path: str, get_reason, log
    ):
        super().__init__(kernel)
        self._address = address
        self._bound = bound
        self._path = path
        self._get_reason = get_reason
        self._log = log
        self._last = None
        self._server = HttpServer(self._answer)

    async def start(self):
        """Bind the server."""
        await self._server.start(self._address, self._bound)

    def _answer(self, path):
        if path != self._path:
            return HttpAnswer(HTTP_NOT_FOUND, b'', {})
        reason = self._get_reason()
        if reason != self._last:
            self._last = reason
            event = 'not_ready' if reason else 'ready'
            self._log.write(self.name, event, reason=reason)
        status = HTTP_UNAVAILABLE if reason else HTTP_OK
        return HttpAnswer(status, reason.encode(), {})

    async def stop(self):
        """Close the server."""
        self._server.close()
