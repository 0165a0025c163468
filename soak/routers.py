"""Simulated routers: choose the balancer for a client's packet."""

import asyncio
from zlib import crc32

import aiohttp
from attrs import define

from liftmount._internal.clock import seconds
from liftmount._internal.models.addresses import Endpoint

CHECK_INTERVAL_MS = 500
# Failed health checks in a row.
UNHEALTHY_THRESHOLD = 2
CHECK_TIMEOUT_MS = 450
HTTP_OK = 200


@define(eq=False)
class RoutedBalancer:
    """A balancer and the result of its health checks."""

    name: str
    domain: str
    packets: Endpoint
    ready: Endpoint
    failed_checks: int = UNHEALTHY_THRESHOLD

    @property
    def is_healthy(self) -> bool:
        """Tell whether the balancer is eligible for packets."""
        return self.failed_checks < UNHEALTHY_THRESHOLD


class Routers:
    """Checks the readiness of balancers and distributes flows."""

    def __init__(self, balancers: list[RoutedBalancer]):
        self.balancers = balancers

    async def run(self) -> None:
        """Run health checks until cancelled."""
        timeout = aiohttp.ClientTimeout(total=seconds(CHECK_TIMEOUT_MS))
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                checks = [
                    self._check(session, balancer)
                    for balancer in self.balancers
                ]
                pause = asyncio.sleep(seconds(CHECK_INTERVAL_MS))
                await asyncio.gather(pause, *checks)

    async def _check(self, session, balancer):
        url = f'http://{balancer.ready}/ready'
        try:
            async with session.get(url) as answer:
                is_ready = answer.status == HTTP_OK
        except (aiohttp.ClientError, TimeoutError, OSError):
            is_ready = False
        balancer.failed_checks = 0 if is_ready else balancer.failed_checks + 1

    def pick(self, domain: str, key: tuple) -> Endpoint | None:
        """Return the balancer of a flow by rendezvous hashing, if any.

        If fewer than half of a domain's balancers are healthy, all of them
        are used; if none is, the healthy ones of other domains.
        """
        local = [
            balancer
            for balancer in self.balancers
            if balancer.domain == domain
        ]
        candidates = [balancer for balancer in local if balancer.is_healthy]
        if candidates and 2 * len(candidates) < len(local):
            candidates = local
        if not candidates:
            candidates = [
                balancer for balancer in self.balancers if balancer.is_healthy
            ]
        if not candidates:
            return None
        data = repr(key).encode()
        return max(
            candidates, key=lambda balancer: crc32(data, _hash_seed(balancer))
        ).packets


def _hash_seed(balancer):
    return crc32(balancer.name.encode())
