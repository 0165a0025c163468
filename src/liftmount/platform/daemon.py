"""A balancer on the platform.

What serves packets starts first and imports little, since a balancer that
was killed serves nobody while it imports.
"""

import asyncio
import signal
import socket
import sys
from zlib import crc32

from liftmount._internal.clock import Clock
from liftmount._internal.clock import seconds
from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.kernel import Kernel
from liftmount._internal.services.feeds import FeedService
from liftmount._internal.services.packets import PacketService
from liftmount._internal.services.readiness import ReadinessService
from liftmount._internal.utils.metrics import Metrics
from liftmount._internal.utils.structured import StructuredLog
from liftmount.platform import heads
from liftmount.platform.settings import EntrySettings
from liftmount.platform.settings import load_settings
from liftmount.platform.store import routes_feed
from liftmount.platform.store import targets_feed

READY_PATH = '/ready'
STATUS_USAGE = 2
FLUSH_MS = 200
CHECK_MS = 50
# How long a start waits for the store before it looks for peers.
SERVE_FIRST_MS = 400
# How long a balancer that found the store serves before it looks for peers;
# the imports take a tenth of a second on a small instance.
SERVE_ALONE_MS = 1_000
FEEDS = ('routes', 'targets')
# What must be left of the time for a planned stop when the process ends.
STOP_MARGIN_MS = 800


def build_kernel(settings: EntrySettings, log, metrics, bound) -> Kernel:
    """Return a kernel with the services of a balancer."""
    kernel = Kernel(Clock())

    def report(error):
        metrics.count('refused.invalid_object')
        log.write('store', 'object_refused', cause=str(error))

    packets = PacketService(kernel, heads, settings, log, metrics, bound)
    kernel.register(packets)
    kernel.register(
        ReadinessService(
            kernel, settings.readiness, READY_PATH, packets.why_not_ready, log
        )
    )
    jitter = crc32(settings.name.encode()) / 2**32
    feeds = (
        ('routes', routes_feed(settings.store, report, metrics)),
        ('targets', targets_feed(settings.store, report, metrics)),
    )
    for name, feed in feeds:
        kernel.register(
            FeedService(kernel, name, feed, [packets.name], log, jitter)
        )
    return kernel


async def join_group(kernel, settings: EntrySettings, log, metrics) -> None:
    """Meet the other balancers, once this one serves or can't."""
    packets = kernel.lookup('packets')
    until_ms = kernel.clock.now_ms() + SERVE_FIRST_MS
    while not packets.state.is_complete and kernel.clock.now_ms() < until_ms:
        await asyncio.sleep(seconds(CHECK_MS))
    if packets.state.is_complete:
        # What waited for us is served before anything else is imported.
        await asyncio.sleep(seconds(SERVE_ALONE_MS))
    from liftmount._internal.services.group import GroupOptions
    from liftmount._internal.services.group import GroupService

    options = GroupOptions(
        name=settings.name,
        failure_domain=settings.failure_domain,
        peer=settings.peer,
        seeds=settings.seeds,
        spread=crc32(settings.name.encode()) / 2**32,
    )
    feeds = [kernel.lookup(name) for name in FEEDS]
    await kernel.add(
        GroupService(kernel, options, packets, feeds, log, metrics)
    )


async def run(settings: EntrySettings, path: str, bound) -> None:
    """Serve until a planned stop is complete."""
    metrics = Metrics()
    log = StructuredLog(Clock())
    kernel = build_kernel(settings, log, metrics, bound)
    log.write('process', 'start', instance=settings.name)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, log)
    running = asyncio.create_task(kernel.run())
    joining = asyncio.create_task(join_group(kernel, settings, log, metrics))
    flushing = asyncio.create_task(_flush_forever(log))
    stopped = asyncio.create_task(stopping.wait())
    await asyncio.wait({running, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if not running.done():
        await _leave(kernel, settings, log)
    for task in (running, joining, flushing, stopped):
        task.cancel()
    results = await asyncio.gather(running, return_exceptions=True)
    log.write('process', 'stop', cause=repr(results[0]))
    log.flush()
    if isinstance(results[0], Exception):
        raise results[0]


async def _leave(kernel, settings, log):
    """Forward until the fabric has moved on."""
    log.write('process', 'stopping')
    packets = kernel.lookup('packets')
    now_ms = kernel.clock.now_ms()
    group = kernel.services.get('group')
    if group is not None:
        group.leave()
    packets.leave(now_ms + settings.stop_ms - STOP_MARGIN_MS)
    while not packets.leaving.may_end(kernel.clock.now_ms()):
        await asyncio.sleep(seconds(CHECK_MS))
    if group is not None:
        group.say_farewell()
    forwarded_ms = kernel.clock.now_ms() - now_ms
    log.write('process', 'left', forwarded_ms=forwarded_ms)


def _reload(path, log):
    try:
        load_settings(path)
    except ConfigurationError as error:
        log.write('process', 'reload_refused', cause=str(error))
    else:
        log.write('process', 'reload')


async def _flush_forever(log):
    while True:
        log.flush()
        await asyncio.sleep(seconds(FLUSH_MS))


def main(path: str, bound: socket.socket | None) -> int:
    """Run a balancer with the settings at ``path``; return its status.

    ``bound`` is its socket for packets, if that is bound already.
    """
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        for problem in error.problems:
            print(f'liftmount: {problem}', file=sys.stderr)
        return STATUS_USAGE
    asyncio.run(run(settings, path, bound))
    return 0
