"""The platform's routers: which balancer a client's packet meets."""

import asyncio
from zlib import crc32

import aiohttp
from attrs import define

from liftmount._internal.clock import seconds
from liftmount._internal.models.addresses import Endpoint

ASK_MS = 500
# Missed answers in a row before a balancer is out.
MISSES = 2
TIMEOUT_MS = 450
HTTP_OK = 200


@define(eq=False)
class Way:
    """A balancer as the routers see it."""

    name: str
    domain: str
    packets: Endpoint
    ready: Endpoint
    misses: int = MISSES

    @property
    def is_in(self) -> bool:
        """Tell whether it gets packets."""
        return self.misses < MISSES


class Routers:
    """Asks each balancer whether it is ready, and spreads flows."""

    def __init__(self, ways: list[Way]):
        self.ways = ways

    async def run(self) -> None:
        """Ask until cancelled."""
        timeout = aiohttp.ClientTimeout(total=seconds(TIMEOUT_MS))
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                asks = [self._ask(session, way) for way in self.ways]
                pause = asyncio.sleep(seconds(ASK_MS))
                await asyncio.gather(pause, *asks)

    async def _ask(self, session, way):
        url = f'http://{way.ready}/ready'
        try:
            async with session.get(url) as answer:
                is_ready = answer.status == HTTP_OK
        except (aiohttp.ClientError, TimeoutError, OSError):
            # A balancer that doesn't answer is one that isn't ready.
            is_ready = False
        way.misses = 0 if is_ready else way.misses + 1

    def pick(self, domain: str, key: tuple) -> Endpoint | None:
        """Return where a flow's packet goes, as ``steady`` hashing has it.

        With fewer than half of a domain's balancers in, all of them are
        used; with none in, those of other domains that are.
        """
        near = [way for way in self.ways if way.domain == domain]
        fit = [way for way in near if way.is_in]
        if fit and 2 * len(fit) < len(near):
            fit = near
        if not fit:
            fit = [way for way in self.ways if way.is_in]
        if not fit:
            return None
        data = repr(key).encode()
        return max(fit, key=lambda way: crc32(data, _seed(way))).packets


def _seed(way):
    return crc32(way.name.encode())
