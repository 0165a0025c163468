"""Service that runs the packet path in the event loop."""

import asyncio

from liftmount._internal.decisions import forwarding
from liftmount._internal.kernel import TickingService
from liftmount._internal.models.feeds import DomainMembers
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import FeedFailed
from liftmount._internal.models.feeds import FeedUpdate
from liftmount._internal.models.feeds import RouteUnknown
from liftmount._internal.models.feeds import Snapshot
from liftmount._internal.models.feeds import TargetUnknown
from liftmount._internal.models.flow_messages import PinsReceived
from liftmount._internal.models.flow_messages import RoutesConfirmed
from liftmount._internal.services.packet_path import PacketPath
from liftmount._internal.services.packet_path import TICK_MS


class PacketService(TickingService):
    """Reads packets, probes targets and applies updates of the store."""

    name = 'packets'
    tick_ms = TICK_MS

    def __init__(self, kernel, path: PacketPath):
        super().__init__(kernel)
        self.path = path
        self._probes = set()
        path.on_unknown_target = self._post_unknown_target
        path.on_unknown_route = self._post_unknown_route
        path.on_pins = self._post_to_group
        path.on_stall = self._post_to_group

    async def start(self):
        """Read packets whenever the socket is readable."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.path.socket.fileno(), self._on_readable)

    async def stop(self):
        """Close the socket."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.path.socket.fileno())
        self.path.socket.close()

    def tick(self):
        """Run the time-based decisions and start due probes."""
        self.path.tick()
        self._start_probes()

    def _on_readable(self):
        self.path.read()
        self._start_probes()

    def handle(self, message):
        """Apply an update from a feed or the group."""
        now_ms = self.clock.now_ms()
        store_cache = self.path.store_cache
        match message:
            case FeedUpdate():
                self.path.record_transfer(lasted_ms=message.update.age_ms)
                self.path.execute(
                    store_cache.apply_feed_update(message, now_ms)
                )
            case Snapshot():
                self.path.execute(store_cache.apply_snapshot(message, now_ms))
            case DomainMembers():
                self.path.set_members(message)
            case Evacuated():
                self.path.execute(
                    store_cache.apply_evacuations(message, now_ms)
                )
            case RoutesConfirmed() | PinsReceived():
                self.path.execute(forwarding.decide(self.path.state, message))
            case FeedFailed():
                store_cache.record_store_lost(now_ms)
            case _:
                super().handle(message)

    def _post_unknown_target(self):
        self._post_to_group(TargetUnknown(self.clock.now_ms()))

    def _post_unknown_route(self):
        self._post_to_group(RouteUnknown(self.clock.now_ms()))

    def _post_to_group(self, message):
        """Post a message to the group, once that has started."""
        if 'group' in self.kernel.services:
            self.kernel.post('group', message)

    def _start_probes(self):
        pending = self.path.pending_probes
        while pending:
            task = asyncio.create_task(self._probe(pending.pop()))
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)

    async def _probe(self, sent):
        state = self.path.state
        entry = state.tags.entries.get(sent.target)
        if entry is None:
            state.health.forget(sent.target)
            return
        path = state.table.health_paths.get(entry.service, '/')
        # Imported here as a start does not need it.
        from liftmount._internal.services.probes import probe

        result = await probe(self.clock, entry, path)
        self.path.handle_probe_result(sent, result)
