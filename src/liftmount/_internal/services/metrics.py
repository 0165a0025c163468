"""Periodic export of counters to statsd."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.kernel import Service

FLUSH_INTERVAL_MS = 1_000


class MetricsService(Service):
    """Flushes the counters to statsd every ``FLUSH_INTERVAL_MS``."""

    name = 'metrics'

    def __init__(self, kernel, counters):
        super().__init__(kernel)
        self.counters = counters

    async def run(self):
        """Flush periodically until cancelled."""
        while True:
            await asyncio.sleep(seconds(FLUSH_INTERVAL_MS))
            self.counters.flush()

    async def stop(self):
        """Flush the remaining counts."""
        self.counters.flush()
