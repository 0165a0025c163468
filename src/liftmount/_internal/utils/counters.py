"""Counters of refusals, retries and other events, sent to statsd."""

from collections import Counter

from statsd import StatsClient

from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.settings import StatsdSettings

MAX_DATAGRAM_BYTES = 1_200


class Counters:
    """Counters in memory; ``flush`` sends the increments to statsd."""

    def __init__(self, settings: StatsdSettings | None):
        self.totals = Counter()
        self._unsent = Counter()
        self._client = None
        if settings is not None:
            self._client = StatsClient(
                host=settings.address.ip,
                port=settings.address.port,
                prefix=settings.prefix,
                maxudpsize=MAX_DATAGRAM_BYTES,
                ipv6=':' in settings.address.ip,
            )

    def refused(self, reason: Reason) -> None:
        """Count a refusal."""
        self.count(f'refused.{reason.value}')

    def retried(self, reason: Reason) -> None:
        """Count a retry."""
        self.count(f'retried.{reason.value}')

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        self.totals[name] += amount
        self._unsent[name] += amount

    def flush(self) -> None:
        """Send the increments since the last flush, batched in datagrams."""
        if self._client is None or not self._unsent:
            return
        with self._client.pipeline() as pipeline:
            for name, amount in self._unsent.items():
                pipeline.incr(name, amount)
        self._unsent.clear()
