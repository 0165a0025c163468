"""Life cycle of a balancer at the entry of a platform.

The services that forward packets start first and import little, because no
packet is forwarded during an import after a restart.  The remaining services
start once packets are forwarded.
"""

import asyncio
import signal
from zlib import crc32

from attrs import frozen

from liftmount._internal.clock import seconds
from liftmount._internal.decisions.list_watch import freshness_times
from liftmount._internal.decisions.list_watch import recheck_ms
from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.kernel import Kernel
from liftmount._internal.services.feeds import FeedService
from liftmount._internal.services.packets import PacketService
from liftmount._internal.services.readiness import ReadinessService
from liftmount._internal.services.startup import StartupContext
from liftmount._internal.utils.import_hook import ImportHook
from liftmount._internal.utils.signals import SignalHandlers

LOG_FLUSH_MS = 200
POLL_MS = 50
# Interval between checks for a settings file that changed without SIGHUP.
SETTINGS_CHECK_MS = 2_000
# Longest wait for the store at startup before the group service starts.
STORE_WAIT_MS = 400
# Pause before the group service starts if the store answered: its imports
# delay packets on a small instance.
GROUP_DELAY_MS = 1_000
# Part of ``stop_ms`` that is reserved for the exit of the process.
STOP_MARGIN_MS = 800


@frozen
class Adapter:
    """Interface between a platform and the balancer.

    ``make_feeds(settings, record_problems, metrics)`` returns the feeds by
    name; ``record_problems`` receives the problems of a stored object.
    ``make_probe(settings, metrics)`` returns what asks whether the store
    answers, see StoreProber.
    ``load()`` returns the current settings or raises ConfigurationError.
    ``stamp()`` returns a value that changes with the settings file; it is
    called before ``load()``, so that a change between the two shows later.
    ``ready_path`` is the HTTP path of the fabric's readiness check.
    """

    make_feeds: object
    make_probe: object
    load: object
    stamp: object
    ready_path: str


class EntryBalancer:
    """A balancer process: its services and their start and stop order.

    ``startup`` is the state created before the event loop, including the
    packet path.
    """

    def __init__(self, adapter: Adapter, startup: StartupContext):
        self.adapter = adapter
        self.startup = startup
        self.settings = startup.settings
        self.path = startup.path
        self.log = startup.log
        self.metrics = startup.metrics
        self.settings_stamp = startup.settings_stamp
        self.kernel = Kernel(startup.clock)
        self.group = None

    async def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        stopping = asyncio.Event()
        handlers = {
            signal.SIGTERM: stopping.set,
            signal.SIGINT: stopping.set,
            signal.SIGHUP: lambda: self._reload('signal'),
        }
        with SignalHandlers(handlers):
            if self.startup.stop_signals:
                stopping.set()
            await self._serve(stopping)

    async def _serve(self, stopping):
        """Serve until the event ``stopping`` is set, then shut down."""
        self._register_services()
        self.log.write('process', 'event_loop')
        # SIGHUP was ignored until now.
        self._reload_if_changed('changed during the start')
        running = asyncio.create_task(self.kernel.run())
        tasks = [
            running,
            asyncio.create_task(stopping.wait()),
            asyncio.create_task(self._join_group()),
            asyncio.create_task(self._flush_forever()),
            asyncio.create_task(self._watch_settings()),
        ]
        await asyncio.wait(tasks[:2], return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            await self._shut_down()
        for task in tasks:
            task.cancel()
        (result,) = await asyncio.gather(running, return_exceptions=True)
        self.log.write(
            'process',
            'stop',
            cause=repr(result),
            pending_tasks=_name_pending_tasks(),
        )
        self.log.flush()
        if isinstance(result, Exception):
            raise result

    def _register_services(self):
        """Register the services that forwarding needs."""
        settings = self.settings
        self.kernel.register(PacketService(self.kernel, self.path))
        self.kernel.register(
            ReadinessService(
                self.kernel,
                settings.readiness,
                self.startup.readiness,
                self.adapter.ready_path,
                self.path.get_unready_reason,
                self.log,
            )
        )
        feeds = self.adapter.make_feeds(
            settings, self.startup.record_problems, self.metrics
        )
        age_ms = self.kernel.clock.now_ms() - self.path.started_ms
        for name, feed in feeds.items():
            service = FeedService(
                self.kernel,
                name,
                feed,
                [PacketService.name],
                self.log,
                _compute_jitter(settings.name),
                freshness_times(settings.change_bound_ms),
                self.startup.listings.get(name),
                self.startup.pending_lists.pop(name, None),
                recheck_ms(age_ms),
            )
            self.kernel.register(service)

    async def _join_group(self):
        """Start the group once packets are forwarded or the store is late."""
        until_ms = self.kernel.clock.now_ms() + STORE_WAIT_MS
        while not self.path.state.is_complete:
            if self.kernel.clock.now_ms() >= until_ms:
                break
            await asyncio.sleep(seconds(POLL_MS))
        else:
            # Forward the queued packets before importing more modules.
            await asyncio.sleep(seconds(GROUP_DELAY_MS))
        await self._add_group_services()

    async def _add_group_services(self):
        with ImportHook(self.path.read):
            from liftmount._internal.services.group import GroupOptions
            from liftmount._internal.services.group import GroupService
            from liftmount._internal.services.metrics_page import MetricsPage

        settings = self.settings
        options = GroupOptions(
            name=settings.name,
            failure_domain=settings.failure_domain,
            peer=settings.peer,
            seeds=settings.seeds,
            jitter=_compute_jitter(settings.name),
            times=freshness_times(settings.change_bound_ms),
            domain_count=max(1, len(settings.regions)),
        )
        feeds = [
            service
            for service in self.kernel.services.values()
            if isinstance(service, FeedService)
        ]
        packets = self.kernel.lookup(PacketService.name)
        self.group = GroupService(
            self.kernel,
            options,
            packets,
            feeds,
            self.adapter.make_probe(settings, self.metrics),
            self.log,
            self.metrics,
        )
        await self.kernel.add(
            MetricsPage(
                self.kernel,
                settings.metrics,
                self.metrics,
                self.path,
                self.group,
                lambda: self.startup.rejected_objects,
                self.log,
            )
        )
        await self.kernel.add(self.group)

    async def _shut_down(self):
        """Forward until the fabric sends no more packets, then leave."""
        self.log.write('process', 'stopping')
        clock = self.kernel.clock
        started_ms = clock.now_ms()
        if self.group is not None and self.group.members is not None:
            self.group.announce_leaving()
        self.path.begin_shutdown(
            started_ms + self.settings.stop_ms - STOP_MARGIN_MS
        )
        while not self.path.shutdown.may_end(clock.now_ms()):
            await asyncio.sleep(seconds(POLL_MS))
        if self.group is not None and self.group.members is not None:
            self.group.say_farewell()
        forwarded_ms = clock.now_ms() - started_ms
        self.log.write('process', 'left', forwarded_ms=forwarded_ms)

    def _reload(self, cause):
        """Apply changed settings; keep the old ones if they are invalid."""
        before = self.settings
        self.settings_stamp = self.adapter.stamp()
        try:
            self.settings = self.adapter.load()
        except ConfigurationError as error:
            self.log.write('process', 'reload_refused', cause=str(error))
            return
        after = self.settings
        self.path.state.flow_max_age_ms = after.flow_max_age_ms
        self.path.link.megabits_per_s = after.link_megabits_per_s
        if self.group is not None and self.group.members is not None:
            self.group.set_seeds(after.seeds)
        if after.store != before.store:
            for service in self.kernel.services.values():
                if isinstance(service, FeedService):
                    service.feed.set_address(after.store)
            if self.group is not None:
                self.group.set_store_address(after.store)
        fixed = ('name', 'packets', 'readiness', 'metrics', 'peer')
        restart = [
            name
            for name in fixed
            if getattr(before, name) != getattr(after, name)
        ]
        self.log.write('process', 'reload', cause=cause, needs_restart=restart)

    async def _watch_settings(self):
        while True:
            await asyncio.sleep(seconds(SETTINGS_CHECK_MS))
            self._reload_if_changed('file changed')

    def _reload_if_changed(self, cause):
        if self.adapter.stamp() != self.settings_stamp:
            self._reload(cause)

    async def _flush_forever(self):
        while True:
            self.log.flush()
            await asyncio.sleep(seconds(LOG_FLUSH_MS))


def _name_pending_tasks():
    """Return the names of the tasks that the end of the loop waits for."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    return sorted(one.get_coro().__qualname__ for one in others)


def _compute_jitter(name):
    """Return a number from 0 to 1 derived from the balancer's name."""
    return crc32(name.encode()) / 2**32
