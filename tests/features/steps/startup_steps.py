"""Steps for the startup of a balancer before its event loop runs."""

import json
import os
import socket
import time

from behave import given
from behave import then
from behave import when

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.entry_settings import EntrySettings
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.services.startup import create_startup_context
from liftmount._internal.services.startup import StartupLoop
from liftmount.platform import packet_headers
from liftmount.platform.feeds import SOURCES
from liftmount.platform.initial_lists import InitialList
from liftmount.platform.launcher import bind_packet_socket
from stand_ins.addresses import make_run_addresses
from stand_ins.store import StoreThread
from tests.features.steps.adapter_steps import CONFIGURATION
from tests.features.steps.adapter_steps import ENTRY
from tests.features.steps.adapter_steps import HEADER_VALUES

BALANCER, STORE, TARGET = range(1, 4)
PACKETS, READY, HTTP, DATAGRAMS = range(4)
TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.005
# Allows for a busy machine; an iteration that blocks takes longer.
MAX_ITERATION_S = 0.25
SYN = 2


def endpoint(context, group, port):
    """Return an address of this test run."""
    run = context.run
    return Endpoint(run.ip(group, 1), run.first_port + port)


def start_store(context):
    """Start an empty store at an address of this test run."""
    context.run = make_run_addresses()
    address = endpoint(context, STORE, HTTP)
    context.store = StoreThread(address.ip, address.port)
    context.add_cleanup(context.store.stop)


@given('a store that holds {count:d} targets and a configuration')
def store_with(context, count):
    start_store(context)
    address = str(endpoint(context, TARGET, DATAGRAMS))
    for number in range(count):
        spec = {**ENTRY, 'address': address}
        context.store.write('servers', f'one-{number:04x}', spec)
    context.store.write('config', 'main', CONFIGURATION)
    context.count = count


def make_settings(context):
    """Return the settings of the balancer."""
    packets = endpoint(context, BALANCER, PACKETS)
    return EntrySettings(
        name='one',
        failure_domain='a',
        packets=packets,
        readiness=endpoint(context, BALANCER, READY),
        metrics=packets,
        store=parse_endpoint(context.store.address),
        peer=packets,
        seeds=(),
        flow_max_age_ms=60_000,
        stop_ms=6_000,
        change_bound_ms=3_000,
    )


def begin_startup(context):
    """Begin the startup of a balancer, with its lists in progress."""
    startup = create_startup_context(make_settings(context), packet_headers)
    context.add_cleanup(startup.path.socket.close)
    if startup.readiness is not None:
        context.add_cleanup(startup.readiness.close)
    lists = {
        feed: InitialList(
            startup.settings.store,
            startup.clock,
            kind,
            read,
            startup.record_problems,
        )
        for feed, (kind, read) in SOURCES.items()
    }
    for one in lists.values():
        context.add_cleanup(one.socket.close)
    context.startup = startup
    context.serving = StartupLoop(startup, lists)


def run_until(context, is_done, timeout_s=TIMEOUT_S):
    """Iterate until a condition is true; return whether it became true."""
    end_s = time.monotonic() + timeout_s
    context.max_iteration_s = 0.0
    while not is_done():
        before_s = time.monotonic()
        if before_s >= end_s:
            return False
        context.serving.run_once()
        elapsed_s = time.monotonic() - before_s
        context.max_iteration_s = max(context.max_iteration_s, elapsed_s)
        time.sleep(POLL_INTERVAL_S)
    return True


@given("an opening is queued in the balancer's socket")
def opening_is_queued(context):
    context.target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.target.bind(endpoint(context, TARGET, DATAGRAMS).socket_address())
    context.target.setblocking(False)
    context.add_cleanup(context.target.close)
    begin_startup(context)
    values = [*HEADER_VALUES]
    values[2] = 0
    values[-2] = SYN
    context.opening = packet_headers.HEADER.pack(*values)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        address = endpoint(context, BALANCER, PACKETS)
        client.sendto(context.opening, address.socket_address())


@when('a balancer iterates until it has routes and targets')
def run_until_complete(context):
    if 'startup' not in context:
        begin_startup(context)
    state = context.startup.path.state
    assert run_until(context, lambda: state.is_complete)


@then("it has {count:d} targets, as of the store's revision")
def targets_are_listed(context, count):
    startup = context.startup
    assert len(startup.path.state.tags.entries) == count
    revision = context.store.store.revision
    listing = startup.listings[TARGETS]
    assert listing.revision == revision and listing.size_bytes, (
        startup.listings
    )
    assert startup.path.store_cache.directory.revision == revision


@then('the target receives the opening in a later iteration')
def target_receives(context):
    received = []

    def arrived():
        try:
            received.append(context.target.recv(2_048))
        except BlockingIOError:
            return False
        return True

    assert run_until(context, arrived)
    assert packet_headers.read(received[0][8:]).opens, received


@when('a balancer iterates for {interval:d} ms while the store {trouble}')
def run_with_faulty_store(context, trouble, interval):
    context.store.store.trouble = trouble
    begin_startup(context)
    run_until(context, lambda: False, interval / 1_000)


def logged_events(context):
    """Return the events in the balancer's log."""
    reading, writing = os.pipe()
    with os.fdopen(reading, 'rb') as stream:
        context.startup.log._descriptor = writing
        context.startup.log.flush()
        os.close(writing)
        lines = stream.read().splitlines()
    return [json.loads(line)['event'] for line in lines]


@then('it has no lists, no iteration blocked, and it {what}')
def nothing_is_listed(context, what):
    assert not context.startup.listings
    assert not context.startup.path.state.is_complete
    assert context.max_iteration_s < MAX_ITERATION_S, context.max_iteration_s
    has_failed = 'first_list_failed' in logged_events(context)
    assert has_failed == (what == 'logs a failed list'), what


@given('a socket that the launcher bound to {address}')
def bound_socket(context, address):
    addresses = {
        'its address': str(endpoint(context, BALANCER, PACKETS)),
        'another address': str(endpoint(context, TARGET, PACKETS)),
        'an invalid address': '127.0.0.1',
    }
    context.bound = bind_packet_socket(addresses[address])
    assert (context.bound is None) == (address == 'an invalid address')


@when('a balancer starts with that socket')
def start_with_socket(context):
    settings = make_settings(context)
    context.startup = create_startup_context(
        settings, packet_headers, context.bound
    )
    context.add_cleanup(context.startup.path.socket.close)
    context.add_cleanup(context.startup.readiness.close)


@then('it is bound to the address of its settings, {how}')
def listens_at_address(context, how):
    found = context.startup.path.socket
    address = endpoint(context, BALANCER, PACKETS).socket_address()
    assert found.getsockname() == address
    assert (found is context.bound) == (how == 'with that socket')


@when('the readiness address is in use')
def occupy_readiness_address(context):
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    context.add_cleanup(listener.close)
    listener.bind(endpoint(context, BALANCER, READY).socket_address())
    listener.listen()
    begin_startup(context)


@then('a balancer starts without readiness and logs the cause')
def starts_without_readiness(context):
    assert context.startup.readiness is None
    assert 'not_bound' in logged_events(context)
