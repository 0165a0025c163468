"""The kernel: a registry of services and streams, and their life cycle.

A service is one asyncio task that owns its sockets and its state.  It
receives typed messages through its mailbox and finds other services in
the kernel by name.  State with many readers, such as the configuration in
force, is published on a reactivex stream, which the kernel also holds by
name.
"""

import asyncio
from collections import deque
import logging

from attrs import define
from attrs import Factory

from liftmount._internal.clock import Clock
from liftmount._internal.clock import seconds
from liftmount._internal.exceptions import ServiceNotFoundError

LOG = logging.getLogger('liftmount.kernel')
MAX_MAILBOX_MESSAGES = 100_000


class Service:
    """Base class: subclasses set ``name`` and extend ``handle``.

    ``dropped`` counts the messages lost to a full mailbox.
    """

    name = ''

    def __init__(self, kernel):
        self.kernel = kernel
        self.clock: Clock = kernel.clock
        self._mailbox = deque()
        self._wake = asyncio.Event()
        self.dropped = 0

    def post(self, message) -> None:
        """Add a message to the mailbox, or drop it if that is full."""
        if len(self._mailbox) >= MAX_MAILBOX_MESSAGES:
            self.dropped += 1
            return
        self._mailbox.append(message)
        self._wake.set()

    async def start(self) -> None:
        """Open sockets; called once before ``run``."""

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._mailbox:
                self.handle(self._mailbox.popleft())

    def handle(self, message) -> None:
        """Handle one message; raise TypeError if its type is unknown."""
        raise TypeError(f'{self.name} received unknown message {message!r}')

    async def stop(self) -> None:
        """Close sockets; called once at the end."""


class TickingService(Service):
    """A service with periodic work; subclasses define ``tick``."""

    tick_ms = 0

    def tick(self) -> None:
        """Do the periodic work; called every ``tick_ms``."""
        raise NotImplementedError

    def tasks(self) -> list:
        """Return the coroutines to run besides message handling."""
        return [self._tick_forever()]

    async def run(self) -> None:
        """Handle messages and run ``tasks`` until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().run())
            for task in self.tasks():
                group.create_task(task)

    async def _tick_forever(self):
        while True:
            await asyncio.sleep(seconds(self.tick_ms))
            self.tick()


@define
class Kernel:
    """Registry of services and streams; starts, runs and stops services."""

    clock: Clock
    services: dict[str, Service] = Factory(dict)
    streams: dict = Factory(dict)
    _tasks: asyncio.TaskGroup | None = None

    def register(self, service: Service) -> None:
        """Add a service under its name; services start in this order."""
        self.services[service.name] = service

    def lookup(self, name: str) -> Service:
        """Return a service by name; raise ServiceNotFoundError if absent."""
        try:
            return self.services[name]
        except KeyError:
            raise ServiceNotFoundError(name) from None

    def post(self, name: str, message) -> None:
        """Post a message to a service by name."""
        self.lookup(name).post(message)

    def stream(self, name: str):
        """Return a reactivex subject by name, created on first use.

        A new subscriber receives the last item published.
        """
        # Imported late: a balancer on the platform starts serving without it.
        from reactivex.subject import ReplaySubject

        if name not in self.streams:
            self.streams[name] = ReplaySubject(1)
        return self.streams[name]

    async def add(self, service: Service) -> None:
        """Start and run one more service while the others run."""
        await service.start()
        self.register(service)
        self._tasks.create_task(service.run(), name=service.name)

    async def run(self) -> None:
        """Run all services until one fails or this task is cancelled."""
        try:
            for service in self.services.values():
                await service.start()
            async with asyncio.TaskGroup() as group:
                self._tasks = group
                for service in self.services.values():
                    group.create_task(service.run(), name=service.name)
        finally:
            for service in reversed(self.services.values()):
                await service.stop()
