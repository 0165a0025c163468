"""A balancer at the entry of a platform, from start to stop.

What serves packets starts first and imports little, since a balancer that
was killed serves nobody while it imports; the rest follows when packets
flow.
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
from liftmount._internal.utils.import_turns import ImportTurns

LOG_FLUSH_MS = 200
POLL_MS = 50
# How often a settings file that changed without a signal is looked for.
SETTINGS_CHECK_MS = 2_000
# How long a start waits for the store before it looks for peers.
STORE_WAIT_MS = 400
# How long a balancer that found the store serves before it looks for peers;
# the imports take a tenth of a second on a small instance.
GROUP_DELAY_MS = 1_000
# What must be left of the time for a planned stop when the process ends.
STOP_MARGIN_MS = 800


@frozen
class Adapter:
    """What a platform has to give to a balancer.

    ``make_feeds`` takes settings, a function that hears of what is wrong
    with an object, and metrics, and returns feeds by name.  ``load`` returns
    the settings as they are now, or raises ConfigurationError; ``stamp``
    returns what changes with the settings file.  ``ready_path`` is asked
    by the fabric.
    """

    make_feeds: object
    load: object
    stamp: object
    ready_path: str


class EntryBalancer:
    """One balancer: its services, and the order in which they start.

    ``startup`` is what serves already.
    """

    def __init__(self, adapter: Adapter, startup: StartupContext):
        self.adapter = adapter
        self.startup = startup
        self.settings = startup.settings
        self.path = startup.path
        self.log = startup.log
        self.metrics = startup.metrics
        self.kernel = Kernel(startup.clock)
        self.group = None

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        self._register_services()
        self.log.write('process', 'event_loop')
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        if self.startup.stop_signals:
            stopping.set()
        loop.add_signal_handler(signal.SIGHUP, self._reload, 'signal')
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
        self.log.write('process', 'stop', cause=repr(result))
        self.log.flush()
        if isinstance(result, Exception):
            raise result

    def _register_services(self):
        """Register the services that packets need."""
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
        """Meet the other balancers, once this one serves or can't."""
        until_ms = self.kernel.clock.now_ms() + STORE_WAIT_MS
        while not self.path.state.is_complete:
            if self.kernel.clock.now_ms() >= until_ms:
                break
            await asyncio.sleep(seconds(POLL_MS))
        else:
            # What waited is served before anything else is imported.
            await asyncio.sleep(seconds(GROUP_DELAY_MS))
        await self._add_group_services()

    async def _add_group_services(self):
        with ImportTurns(self.path.read):
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
            one
            for one in self.kernel.services.values()
            if isinstance(one, FeedService)
        ]
        packets = self.kernel.lookup(PacketService.name)
        self.group = GroupService(
            self.kernel, options, packets, feeds, self.log, self.metrics
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
        """Forward until the fabric has moved on."""
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
        """Take over settings that changed; keep the old ones if bad."""
        before = self.settings
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
        fixed = ('name', 'packets', 'readiness', 'metrics', 'peer')
        restart = [
            name
            for name in fixed
            if getattr(before, name) != getattr(after, name)
        ]
        self.log.write('process', 'reload', cause=cause, needs_restart=restart)

    async def _watch_settings(self):
        stamp = self.adapter.stamp()
        while True:
            await asyncio.sleep(seconds(SETTINGS_CHECK_MS))
            found = self.adapter.stamp()
            if found != stamp:
                stamp = found
                self._reload('file changed')

    async def _flush_forever(self):
        while True:
            self.log.flush()
            await asyncio.sleep(seconds(LOG_FLUSH_MS))


def _compute_jitter(name):
    """Return a share from 0 to 1 that differs by balancer."""
    return crc32(name.encode()) / 2**32
