"""Entry point of ``liftmountd``, which runs one balancer.

Prints one line of JSON with the bound addresses once it is ready.
SIGTERM and SIGINT start a graceful shutdown: the balancer accepts no new
flows, asks clients to move, and finishes the requests in progress.  SIGHUP
changes nothing, as the settings are read at the start only.
"""

import argparse
import asyncio
import json
import logging
from pathlib import Path
import secrets
import signal
import sys

from liftmount._internal.clock import Clock
from liftmount._internal.clock import seconds
from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.kernel import Kernel
from liftmount._internal.models.identity import Identity
from liftmount._internal.models.identity import make_incarnation
from liftmount._internal.models.identity import RANDOM_BITS
from liftmount._internal.models.messages import ShutdownStarted
from liftmount._internal.models.settings import load_settings
from liftmount._internal.models.settings import Settings
from liftmount._internal.services.configuration import ConfigurationService
from liftmount._internal.services.control import ControlService
from liftmount._internal.services.data import DataService
from liftmount._internal.services.metrics import MetricsService
from liftmount._internal.services.peers import PeerService
from liftmount._internal.services.platform import PlatformService
from liftmount._internal.services.targets import TargetService
from liftmount._internal.utils.counters import Counters
from liftmount._internal.utils.logs import set_up_logging
from liftmount._internal.utils.signals import SignalHandlers

LOG = logging.getLogger('liftmount.daemon')
STATUS_USAGE = 2
POLL_INTERVAL_MS = 50
FAREWELL_DELAY_MS = 100


def build_kernel(settings: Settings, clock: Clock, make_store) -> Kernel:
    """Return a kernel with all services of a balancer registered.

    ``make_store(settings, local_ip)`` returns a StoreClient.
    """
    identity = Identity(
        name=settings.instance.name,
        failure_domain=settings.instance.failure_domain,
        incarnation=make_incarnation(
            clock.wall_ms(), secrets.randbits(RANDOM_BITS)
        ),
    )
    counters = Counters(settings.statsd)
    kernel = Kernel(clock)
    common = (kernel, settings, identity, counters)
    # Services start in this order and may use the ones registered before.
    kernel.register(ConfigurationService(kernel, counters))
    kernel.register(DataService(*common))
    kernel.register(TargetService(kernel, settings, counters))
    kernel.register(ControlService(*common))
    store = make_store(settings.platform, settings.listen.control.ip)
    kernel.register(PlatformService(*common, store))
    kernel.register(PeerService(*common))
    kernel.register(MetricsService(kernel, counters))
    return kernel


async def run_daemon(settings: Settings, make_store, stops) -> None:
    """Run a balancer until its graceful shutdown is complete.

    ``stops`` is not empty if a signal to stop came before the event loop ran.
    """
    kernel = build_kernel(settings, Clock(), make_store)
    stopping = asyncio.Event()
    handlers = {
        signal.SIGTERM: stopping.set,
        signal.SIGINT: stopping.set,
        signal.SIGHUP: _log_hangup,
    }
    with SignalHandlers(handlers):
        if stops:
            LOG.info('Stopped before any service had started.')
            return
        await _serve(kernel, settings, stopping)


async def _serve(kernel, settings, stopping):
    """Run the kernel until ``stopping`` is set and requests have ended."""
    running = asyncio.create_task(kernel.run())
    ready = asyncio.create_task(_announce_ready(kernel))
    stopped = asyncio.create_task(stopping.wait())
    await asyncio.wait({running, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if not running.done():
        await _shut_down(kernel, settings)
    for task in (running, ready, stopped):
        task.cancel()
    results = await asyncio.gather(running, return_exceptions=True)
    error = results[0]
    if isinstance(error, Exception):
        raise error


def _log_hangup():
    LOG.warning('SIGHUP changes nothing: settings are read at the start.')


async def _announce_ready(kernel):
    peers = kernel.lookup('peers')
    while peers.state is None:
        await asyncio.sleep(seconds(POLL_INTERVAL_MS))
    addresses = {
        'ready': kernel.lookup('data').identity.name,
        'fabric': str(kernel.lookup('data').fabric.address),
        'peer': str(peers.socket.address),
        'control': str(kernel.lookup('control').address),
    }
    print(json.dumps(addresses), flush=True)


async def _shut_down(kernel, settings):
    """Shut down gracefully, within ``limits.stop_ms``."""
    clock = kernel.clock
    peers = kernel.lookup('peers')
    peers.is_stopping = True
    for name in ('data', 'peers'):
        kernel.post(name, ShutdownStarted())
    deadline_ms = clock.now_ms() + settings.limits.stop_ms
    data = kernel.lookup('data')
    while clock.now_ms() < deadline_ms:
        await asyncio.sleep(seconds(POLL_INTERVAL_MS))
        if data.home.leaving and data.has_finished():
            LOG.info('All requests and flows have finished.')
            break
    else:
        LOG.warning('The graceful shutdown timed out.')
    if peers.state is not None:
        peers.say_farewell()
    await asyncio.sleep(seconds(FAREWELL_DELAY_MS))


def main(make_store, stops=(), arguments=None) -> int:
    """Run the daemon and return its exit status.

    ``make_store(settings, local_ip)`` returns a StoreClient.  ``stops`` gets
    the signals to stop that come before the event loop runs.
    """
    parser = argparse.ArgumentParser(
        prog='liftmountd', description='Run one liftmount balancer.'
    )
    parser.add_argument(
        '--settings',
        type=Path,
        required=True,
        metavar='FILE',
        help='TOML file with the settings of this instance',
    )
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except ConfigurationError as error:
        for problem in error.problems:
            print(f'liftmountd: {problem}', file=sys.stderr)
        return STATUS_USAGE
    set_up_logging(settings.log.level)
    try:
        asyncio.run(run_daemon(settings, make_store, stops))
    except OSError as error:
        LOG.error('Cannot run: %s.', error)
        return 1
    return 0
