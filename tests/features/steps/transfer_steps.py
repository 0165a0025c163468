"""Steps for slow transfers."""

import asyncio
import time

from behave import given
from behave import then
from behave import when

from liftmount._internal.clock import Clock
from liftmount._internal.clock import ManualClock
from liftmount._internal.decisions import dissemination
from liftmount._internal.decisions import list_watch
from liftmount._internal.decisions import target_health
from liftmount._internal.decisions.list_watch import freshness_times
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.kernel import Kernel
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import FeedUpdate
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.models.records import Tick
from liftmount._internal.services.feeds import FeedService
from liftmount._internal.services.packets import PacketService
from liftmount._internal.utils.structured import StructuredLog
from liftmount.platform.feeds import SOURCES
from liftmount.platform.store import PlatformStore
from liftmount.platform.store_feed import StoreFeed
from tests.features.steps.forwarding_steps import make_entry
from tests.features.steps.process_steps import start_balancer
from tests.features.steps.startup_steps import begin_startup
from tests.features.steps.startup_steps import endpoint
from tests.features.steps.startup_steps import HTTP
from tests.features.steps.startup_steps import run_until
from tests.features.steps.startup_steps import start_store
from tests.features.steps.startup_steps import STORE

SHARES = {'all': 1.0, 'half': 0.5, 'a third': 0.3, 'none': 0.0}
VERSION = 9
TIMEOUT_S = 15.0
SETTLE_S = 0.2


def make_configuration(count):
    """Return a configuration with routes to the service guide."""
    routes = [
        {
            'name': f'route-of-a-long-name-{number:05}',
            'host': f'198.18.{number >> 8}.{number & 255}',
            'path_prefix': '/8443/',
            'type': 'idempotent',
            'backend': 'guide',
            'timeout_ms': 3_000,
            'target_latency_ms': 800,
            'priority': 2,
        }
        for number in range(count)
    ]
    return {
        'version': VERSION,
        'routes': routes,
        'backends': [{'name': 'guide', 'health_check_path': '/health'}],
        'limits': {'idle_timeout_ms': 15_000},
    }


@given('a configuration of {count:d} routes')
@when('a configuration of {count:d} routes')
def write_many_routes(context, count):
    context.store.write('config', 'main', make_configuration(count))


@given('the store sends {rate:d} bytes per second')
@when('the store sends {rate:d} bytes per second')
def store_rate(context, rate):
    context.store.store.faults.bytes_per_s = rate


@given(
    'a store that holds {count:d} routes and sends {rate:d} bytes per second'
)
def slow_store(context, count, rate):
    start_store(context)
    write_many_routes(context, count)
    store_rate(context, rate)


@given('{share} of each answer arrives')
def share_arrives(context, share):
    context.store.store.faults.arrives = SHARES[share]


def make_feed(context):
    """Return a feed of routes from the store."""
    context.refused = []
    store = PlatformStore([endpoint(context, STORE, HTTP)])
    kind, read = SOURCES[ROUTES]

    def record_problems(_key, _revision, problems):
        context.refused.extend(problems)

    return StoreFeed(store, kind, read, record_problems)


@when('{share} of the list of routes arrives')
def list_arrives(context, share):
    share_arrives(context, share)

    async def fetch():
        feed = make_feed(context)
        try:
            return await feed.fetch(False, list_watch.LIST_TIMEOUT_MS)
        finally:
            feed.close()

    before_s = time.monotonic()
    context.listing = None
    try:
        context.listing = asyncio.run(fetch())
    except PlatformError:
        pass
    context.duration_ms = 1_000 * (time.monotonic() - before_s)


@then('the list is {outcome} after {first:d} to {last:d} ms')
def list_outcome(context, outcome, first, last):
    assert (context.listing is not None) == (outcome == 'read')
    assert first <= context.duration_ms <= last, context.duration_ms


@then('its age is the duration of its transfer, and routes are confirmed as '
      'of its start')  # fmt: skip
def list_age(context):
    age_ms = context.listing.age_ms
    assert 0.7 * context.duration_ms < age_ms <= context.duration_ms, age_ms
    state = dissemination.DisseminationState('me', 0)
    now_ms = 1_000_000
    state.read_ms = dict.fromkeys(state.feeds, now_ms)
    event = dissemination.StoreAnswered(ROUTES, context.listing, now_ms)
    dissemination.decide(state, event)
    assert state.last_confirmed_ms() == now_ms - age_ms


@when('a balancer in domain {domain} starts')
def balancer_starts(context, domain):
    start_balancer(context, domain)


@then('it requested each list once, and never lost the store')
def requested_once(context):
    kinds = {kind for kind, _read in SOURCES.values()}
    assert context.store.store.listed == dict.fromkeys(kinds, 1)
    assert not context.balancer.events('store_lost')
    assert not context.balancer.events('first_list_failed')


@when('a balancer iterates until its list of routes has begun to arrive')
def list_begins(context):
    begin_startup(context)
    first = context.serving._lists[ROUTES]

    def has_begun():
        return first.is_request_sent and first._began_ms is not None

    assert run_until(context, has_begun)
    assert not context.startup.path.state.is_complete


@when('its lists are passed to the event loop')
def release_lists(context):
    context.serving.release_pending_lists()
    assert ROUTES in context.startup.pending_lists


class Listener:
    """Records the messages that a feed posts."""

    name = 'listener'

    def __init__(self):
        self.posted = []

    def post(self, message):
        """Record a message."""
        self.posted.append(message)


async def follow_routes(context, is_done):
    """Run the feed of routes until a condition is true."""
    kernel = Kernel(Clock())
    listener = Listener()
    kernel.register(listener)
    service = FeedService(
        kernel,
        ROUTES,
        make_feed(context),
        [listener.name],
        context.startup.log,
        0.5,
        freshness_times(),
        pending_list=context.startup.pending_lists.pop(ROUTES),
    )
    task = asyncio.create_task(service.run())
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not is_done(service, listener):
                await asyncio.sleep(0.01)
    finally:
        task.cancel()
        await service.stop()
    return listener


def routes_posted(listener):
    """Return the number of routes that a feed has posted."""
    for posted in listener.posted:
        update = getattr(posted, 'update', None)
        if isinstance(update, Listing):
            return len(update.items[0].routes)
    return 0


@when('answers arrive whole after the store is reported lost')
def whole_after_loss(context):
    context.heal = True


@then('the event loop receives all {count:d} routes')
def loop_receives(context, count):
    def is_done(service, listener):
        if service.state.failures:
            context.store.store.faults.arrives = 1.0
        return routes_posted(listener)

    listener = asyncio.run(follow_routes(context, is_done))
    assert routes_posted(listener) == count


@then('the event loop receives all {count:d} routes, and no list was '
      'requested twice')  # fmt: skip
def loop_receives_once(context, count):
    loop_receives(context, count)
    assert context.store.store.listed['config'] == 1


class SlowFeed:
    """A feed whose list ends when a step sets ``may_finish``."""

    def __init__(self):
        self.calls = []
        self.may_finish = asyncio.Event()

    async def fetch(self, may_lag, timeout_ms):
        """Return an empty list once ``may_finish`` is set."""
        self.calls.append('a list')
        await self.may_finish.wait()
        return Listing((), 12)

    async def watch(self, revision, wait_ms, timeout_ms):
        """Wait without a change."""
        self.calls.append('a watch')
        await asyncio.sleep(TIMEOUT_S)

    def close(self):
        """Do nothing."""


@given('a feed whose first list is in progress')
def feed_in_progress(context):
    context.messages = []


@when('it is paused')
def pause_feed(context):
    context.messages = [list_watch.Paused()]


@when('it is paused, and a peer provides the list')
def pause_and_provide_list(context):
    context.messages = [list_watch.Paused(), list_watch.ListKnown(10)]


@when('a peer provides the list')
def provide_list(context):
    context.messages = [list_watch.ListKnown(10)]


@when('it is paused and resumed')
def pause_and_resume(context):
    context.messages = [list_watch.Paused(), list_watch.Resumed(None)]


async def run_feed(context):
    """Post the messages to a feed; return its calls and its posts."""
    kernel = Kernel(Clock())
    listener = Listener()
    kernel.register(listener)
    feed = SlowFeed()
    log = StructuredLog(kernel.clock)
    service = FeedService(
        kernel, ROUTES, feed, [listener.name], log, 0.5, freshness_times()
    )
    task = asyncio.create_task(service.run())
    while not feed.calls:
        await asyncio.sleep(0.01)
    for message in context.messages:
        service.post(message)
    await asyncio.sleep(SETTLE_S)
    feed.may_finish.set()
    await asyncio.sleep(SETTLE_S)
    if service.state.revision == 10:
        # The watch after a peer's list begins later.
        await asyncio.sleep(list_watch.RECHECK_MS / 1_000)
    task.cancel()
    await service.stop()
    return feed.calls, listener.posted


@then('the list {outcome}, and its next call is {call}')
def list_continues(context, outcome, call):
    calls, posted = asyncio.run(run_feed(context))
    assert bool(posted) == (outcome == 'continues'), posted
    wanted = ['a list'] if call == 'none' else ['a list', call]
    assert calls == wanted, calls


@given('a balancer with one target that has just {transfer}')
def balancer_with_target(context, transfer):
    start_store(context)
    begin_startup(context)
    path = context.startup.path
    path.clock = ManualClock(1_000_000)
    entry = make_entry('one', 'guide')
    service = PacketService(Kernel(path.clock), path)
    service.handle(FeedUpdate(TARGETS, Listing((entry,), 10)))
    match transfer.split():
        case ['transferred', size, 'bytes']:
            path.record_transfer(int(size))
        case ['got', 'routes', 'within', duration_ms, 'ms']:
            delta = Delta((), (), 12, 10, int(duration_ms))
            service.handle(FeedUpdate(ROUTES, delta))


@when('four probes of the target, sent {after:d} ms later, are {result}')
def four_probes(context, after, result):
    path = context.startup.path
    path.clock.advance(after)
    sent_ms = path.clock.now_ms()
    health = path.state.health
    silent = target_health.TargetUnresponsive('one', sent_ms)
    for _ in range(target_health.PROBES_TO_DEAD):
        path.execute(target_health.decide(health, silent))
        path.clock.advance(target_health.PROBE_GAP_MS)
        tick = Tick(path.clock.now_ms())
        path.execute(target_health.decide(health, tick))
    for sent in list(path.pending_probes):
        path.handle_probe_result(sent, target_health.ProbeResult(result))


@then('by its probes the target is {health}')
def target_health_is(context, health):
    is_dead = context.startup.path.state.health.is_dead('one')
    assert is_dead == (health == 'dead'), context.startup.path.pending_probes
