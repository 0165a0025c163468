"""Sends counters by statsd at an interval."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.kernel import Service

FLUSH_INTERVAL_MS = 1_000


class MetricsService(Service):
    """Owns the statsd client."""

    name = 'metrics'

    def __init__(self, kernel, counters):
        super().__init__(kernel)
        self.counters = counters

    async def run(self):
        """Flush until cancelled."""
        while True:
            await asyncio.sleep(seconds(FLUSH_INTERVAL_MS))
            self.counters.flush()

    async def stop(self):
        """Send what is left."""
        self.counters.flush()
