"""Serves metrics in the Prometheus text format."""

from liftmount._internal.kernel import Service
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.network.http import HttpServer
from liftmount._internal.network.http_messages import HTTP_NOT_FOUND
from liftmount._internal.network.http_messages import HTTP_OK
from liftmount._internal.network.http_messages import HttpAnswer

METRICS_PATH = '/metrics'


class MetricsPage(Service):
    """HTTP server for ``/metrics``.

    ``find_rejected_objects()`` returns the RejectedObjects, or None if no
    object was rejected so far.
    """

    name = 'metrics'

    def __init__(
        self,
        kernel,
        address: Endpoint,
        metrics,
        path,
        group,
        find_rejected_objects,
        log,
    ):
        super().__init__(kernel)
        self._address = address
        self._metrics = metrics
        self._path = path
        self._group = group
        self._find_rejected_objects = find_rejected_objects
        self._log = log
        self._server = HttpServer(self._answer)

    async def start(self):
        """Bind the server; the balancer runs without it if that fails."""
        try:
            await self._server.start(self._address)
        except OSError as error:
            self._log.write(self.name, 'not_bound', cause=str(error))

    def _answer(self, path):
        if path != METRICS_PATH:
            return HttpAnswer(HTTP_NOT_FOUND, b'', {})
        self._update_gauges()
        rejected = self._find_rejected_objects()
        text = self._metrics.text() + (rejected.text() if rejected else '')
        return HttpAnswer(HTTP_OK, text.encode(), {})

    def _update_gauges(self):
        """Set the gauges from the current state."""
        store_cache = self._path.store_cache
        state = store_cache.state
        dissemination = self._group.dissemination
        now_ms = self.clock.now_ms()
        gauges = self._metrics.gauges
        gauges['flows'] = len(state.flows)
        gauges['targets'] = len(store_cache.directory.entries)
        gauges['targets_dead'] = len(state.health.dead)
        gauges['targets_suspected'] = len(state.health.suspected)
        gauges['link_busy'] = int(state.health.is_link_busy)
        gauges['link_times_busy'] = self._path.link.times_busy
        gauges['targets_doubted'] = len(store_cache.directory.missing)
        gauges['configuration_version'] = (
            state.table.version if state.table else 0
        )
        gauges['targets_revision'] = store_cache.directory.revision
        gauges['domains_evacuated'] = len(state.evacuated or ())
        gauges['knowledge_age_ms'] = now_ms - dissemination.last_confirmed_ms()
        gauges['reads_store'] = int(dissemination.is_reader)
        rejected = self._find_rejected_objects()
        gauges['objects_left_out'] = len(rejected.objects) if rejected else 0
        gauges['log_lines_lost'] = self._log.total_lost

    async def stop(self):
        """Close the server."""
        self._server.close()
