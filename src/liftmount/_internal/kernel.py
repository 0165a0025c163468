"""The micro-kernel: services that find each other by name.

A service is one task that owns its sockets and its state.  It gets typed
messages through its mailbox and knows others only by their names.  What
changes slowly and interests many, such as the configuration in force, is
a reactivex stream that the kernel holds by name.
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
    """Base of a service; subclasses set ``name`` and handle messages."""

    name = ''

    def __init__(self, kernel):
        self.kernel = kernel
        self.clock: Clock = kernel.clock
        self._mailbox = deque()
        self._wake = asyncio.Event()
        self.dropped = 0

    def post(self, message) -> None:
        """Put a message into the mailbox; drops it when that is full."""
        if len(self._mailbox) >= MAX_MAILBOX_MESSAGES:
            self.dropped += 1
            return
        self._mailbox.append(message)
        self._wake.set()

    async def start(self) -> None:
        """Open sockets; called once before ``run``, in given order."""

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._mailbox:
                self.handle(self._mailbox.popleft())

    def handle(self, message) -> None:
        """Handle one message."""
        raise TypeError(f'{self.name} got unknown message {message!r}')

    async def stop(self) -> None:
        """Close sockets; called once at the end."""


class TickingService(Service):
    """A service that also lets time pass; subclasses define ``tick``."""

    tick_ms = 0

    def tick(self) -> None:
        """Let time pass; called each ``tick_ms``."""
        raise NotImplementedError

    def tasks(self) -> list:
        """Return what runs beside the handling of messages."""
        return [self._tick_forever()]

    async def run(self) -> None:
        """Handle messages and let time pass until cancelled."""
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
    """Registry of services and of streams, and their life cycle."""

    clock: Clock
    services: dict[str, Service] = Factory(dict)
    streams: dict = Factory(dict)
    _tasks: asyncio.TaskGroup | None = None

    def register(self, service: Service) -> None:
        """Make a service known under its name."""
        self.services[service.name] = service

    def lookup(self, name: str) -> Service:
        """Return the service of a name; raises ServiceNotFoundError."""
        try:
            return self.services[name]
        except KeyError:
            raise ServiceNotFoundError(name) from None

    def post(self, name: str, message) -> None:
        """Send a message to the service of a name."""
        self.lookup(name).post(message)

    def stream(self, name: str):
        """Return the reactivex subject of a name; it repeats its last item."""
        # A balancer on the platform serves before it imports the library.
        from reactivex.subject import ReplaySubject

        if name not in self.streams:
            self.streams[name] = ReplaySubject(1)
        return self.streams[name]

    async def add(self, service: Service) -> None:
        """Start one more service while the others run."""
        await service.start()
        self.register(service)
        self._tasks.create_task(service.run(), name=service.name)

    async def run(self) -> None:
        """Start all services and run them until one fails or cancelled."""
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
