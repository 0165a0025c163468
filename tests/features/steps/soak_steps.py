"""Steps for the fault soak: its runs, checks, transport and plans."""

import asyncio
import random

from attrs import define
from behave import given
from behave import then
from behave import when

from liftmount._internal.clock import ManualClock
from soak import faults
from soak import promises
from soak import run
from soak import transport
from soak.clients import Load
from soak.clients import RequestKind
from soak.deployment import Size
from soak.proxy import Harm

SEED = 7
LENGTH_MS = 8_000
NOW_MS = 100_000
ROUTE = (0x7F010101, 443)
FLOW = (0x7F010202, 10_001, *ROUTE)
BALANCER_IP = '127.0.0.9'
TICK_MS = 20
LAST_MS = 300_000

PLANS = {
    'a balancer of each domain is stopped, then the others': (
        faults.BalancerStopped(1_000, 0, 2_500),
        faults.BalancerStopped(1_100, 2, 2_500),
        faults.BalancerStopped(1_200, 4, 2_500),
        faults.BalancerStopped(7_000, 1, 1_500),
        faults.BalancerStopped(7_100, 3, 1_500),
        faults.BalancerStopped(7_200, 5, 1_500),
    ),
    'targets are replaced one by one': (
        faults.TargetReplaced(500, 0, False),
        faults.TargetReplaced(2_000, 3, True),
        faults.TargetReplaced(3_500, 2, False),
    ),
    'targets leave as routes change': (
        faults.TargetReplaced(500, 0, True),
        faults.RoutesChanged(1_200, True),
        faults.RoutesChanged(2_100, True),
        faults.RoutesChanged(3_000, False),
    ),
    'a target leaves as a balancer starts without the store': (
        faults.TargetReplaced(500, 0, True, 7_000),
        faults.StoreLinkHarmed(600, 1, Harm.RESET, 1_900),
        faults.BalancerKilled(700, 1, 100),
    ),
    'the store drops history that no balancer has read': (
        *(
            faults.StoreLinkHarmed(500, balancer, Harm.RESET, 2_000)
            for balancer in range(6)
        ),
        faults.RoutesChanged(1_200, True),
        faults.HistoryForgotten(1_800),
    ),
    'settings change, good and bad': (
        faults.SettingsChanged(500, 0, True, True),
        faults.SettingsChanged(700, 1, False, True),
        faults.SettingsChanged(900, 2, False, False),
        faults.SettingsChanged(1_100, 2, True, True),
    ),
    'balancers are killed and paused': (
        faults.BalancerKilled(500, 0, 800),
        faults.BalancerPaused(1_500, 2, 2_000),
        faults.AllKilled(4_500, 'b', 500),
    ),
    'links to several targets fail': (
        faults.TargetLinkHarmed(500, 0, Harm.RESET, 4_500),
        faults.TargetLinkHarmed(2_000, 4, Harm.SILENT, 2_000),
        faults.TargetLinkHarmed(5_000, 6, Harm.DELAYED, 1_500),
    ),
    'targets crash and addresses are reused': (
        faults.TargetCrashed(500, 0, 2_500, True),
        faults.TargetCrashed(1_500, 4, 1_500, False),
    ),
    'the store has faults of every kind': (
        faults.StoreTroubled(500, 'says nothing', 1_500),
        faults.HistoryForgotten(2_500),
        faults.StoreTroubled(3_000, 'answers 503', 1_000),
        faults.RoutesChanged(3_200, True),
        faults.EntriesLapsed(5_000, 1_500),
        faults.StoreLinkHarmed(6_000, 0, Harm.ONE_WAY, 1_500),
    ),
}


@given('the faults {name}')
def fault_plan(context, name):
    context.plan = PLANS[name]


@when('they are injected with {count:d} balancers in each domain')
def run_faults(context, count):
    play(context, SEED, count, context.plan)


@when('the faults of seed {seed:d} are injected with {count:d} balancers in '
      'each domain')  # fmt: skip
def run_seed(context, seed, count):
    play(context, seed, count, ())


def play(context, seed, balancers, plan):
    """Run a deployment with these faults, or those of the seed."""
    length_ms = LENGTH_MS if balancers == 2 else Size().length_ms
    size = Size(length_ms, balancers)
    context.outcome = asyncio.run(
        run.play(seed, size, context.directory, plan)
    )


@then('no promise is broken')
def no_promise_broken(context):
    assert not context.outcome.breaches, context.outcome


@then('at least {share:g} of all requests are served')
def share_served(context, share):
    counts = context.outcome.counts
    served = counts['served']
    requested = served + counts.get('unserved', 0)
    assert served >= share * requested, counts


@then('at most {share:g} of them are slow')
def share_slow(context, share):
    counts = context.outcome.counts
    requested = counts['served'] + counts.get('unserved', 0)
    slow = context.outcome.slow_requests
    assert counts['slow'] <= share * requested, (counts, slow)


# Checks.


@define(eq=False)
class FakeTarget:
    """The attributes of a target that a witness reads."""

    name: str
    service: str = 'guide'
    keys: tuple = (FLOW,)
    domain: str = 'a'

    def holds(self, key):
        """Return whether a flow is open at this target."""
        return key in self.keys


@given('a witness with all balancers in touch')
def witness(context):
    context.clock = ManualClock(NOW_MS)
    context.disturbances = promises.Disturbances()
    context.checker = promises.PromiseChecker(
        context.clock, context.disturbances
    )
    context.checker.balancer_names[BALANCER_IP] = 'balancer-1'
    context.checker.route_services[ROUTE] = {'guide'}


def make_request(kind, attempt):
    """Return a request as a target receives it."""
    return {'try': f'r.{attempt}', 'request': 'r', 'kind': kind.value}


def run_attempts(context, kind, *attempts):
    """Run attempts of a request, each at a different target."""
    for number, attempt in enumerate(attempts):
        target = FakeTarget(f'i-{number}')
        context.checker.record_run(target, FLOW, make_request(kind, attempt))


def open_at(context, service='guide', left_ms=None, evacuated_ms=None):
    """Deliver an opening to a target.

    Optionally, the target left or its domain was evacuated some time ago.
    """
    target = FakeTarget('i-1', service)
    if left_ms is not None:
        context.checker.leaving_ms['i-1'] = NOW_MS - left_ms
    if evacuated_ms is not None:
        context.checker.evacuated_ms[target.domain] = NOW_MS - evacuated_ms
    packet = transport.Packet(1, 0, ROUTE, FLOW[:2], 0, transport.SYN)
    context.checker.record_opening(target, packet)


def reset(context, cut_ms=None, keys=(FLOW,), is_open=True):
    """Report a reset of a balancer to a client."""
    target = FakeTarget('i-1', keys=keys)
    if is_open:
        context.checker.record_open_flow(target, FLOW)
    if cut_ms is not None:
        context.disturbances.record('i-1', NOW_MS - cut_ms)
    context.checker.record_reset(FLOW, BALANCER_IP)


def record_requests(context, served, requested):
    """Record requests after the last fault, of which some are served."""
    load = Load(RequestKind.STREAM, 'guide', 1, 1, 1)
    for number in range(requested):
        context.checker.record_request(load, NOW_MS, NOW_MS, number < served)
    context.checker.check_recovery(NOW_MS, NOW_MS)


EVENTS = {
    'a request runs': lambda c: run_attempts(c, RequestKind.AT_MOST_ONCE, 0),
    'an attempt runs at two targets': lambda c: run_attempts(
        c, RequestKind.STREAM, 0, 0
    ),
    'a request that must not be repeated runs in two attempts': lambda c: (
        run_attempts(c, RequestKind.AT_MOST_ONCE, 0, 1)
    ),
    'a request that may be repeated runs in two attempts': lambda c: (
        run_attempts(c, RequestKind.STREAM, 0, 1)
    ),
    'an opening reaches a target of its service': open_at,
    'an opening reaches a target of another service': lambda c: open_at(
        c, 'tiles'
    ),
    'an opening reaches a domain that was evacuated 2900 ms ago': lambda c: (
        open_at(c, evacuated_ms=2_900)
    ),
    'an opening reaches a domain that was evacuated 3100 ms ago': lambda c: (
        open_at(c, evacuated_ms=3_100)
    ),
    'an opening reaches a target that left 2900 ms ago': lambda c: open_at(
        c, left_ms=2_900
    ),
    'an opening reaches a target that left 3100 ms ago': lambda c: open_at(
        c, left_ms=3_100
    ),
    'an open flow is reset while its target lives': reset,
    'an open flow is reset 4100 ms after its target was cut off': lambda c: (
        reset(c, cut_ms=4_100)
    ),
    'an open flow is reset 3900 ms after its target was cut off': lambda c: (
        reset(c, cut_ms=3_900)
    ),
    'an open flow is reset after its target ended': lambda c: reset(
        c, keys=()
    ),
    'a flow that is not open is reset': lambda c: reset(c, is_open=False),
    'an answer belongs to another request': lambda c: (
        c.checker.report_wrong_answer('r.0', 's.0')
    ),
    '94 of 100 requests are served after the last fault': lambda c: (
        record_requests(c, 94, 100)
    ),
    '95 of 100 requests are served after the last fault': lambda c: (
        record_requests(c, 95, 100)
    ),
    '5 of 5 requests are served after the last fault': lambda c: (
        record_requests(c, 5, 5)
    ),
}


@when('the witness sees that {event}')
def event_happens(context, event):
    EVENTS[event](context)


@then('the witness records nothing')
def no_breach_recorded(context):
    assert not context.checker.breaches, context.checker.breaches


@then('the witness records "{promise}"')
def breach_recorded(context, promise):
    found = [one.promise for one in context.checker.breaches]
    assert found == [promise], found


# Transport.


@given('a packet with data')
def packet_with_data(context):
    context.packet = transport.Packet(
        77, 5, ROUTE, FLOW[:2], 99, transport.ACK, b'data'
    )
    context.datagram = context.packet.encode()


@when('its {part} changes')
def part_changes(context, part):
    offsets = {'tag': 22, 'data': 33, 'sequence': 0, 'source': 16}
    changed = bytearray(context.datagram)
    changed[offsets.get(part, 30)] ^= 1
    context.datagram = bytes(changed)


@then('it counts as changed: {expected}')
def counts_as_changed(context, expected):
    is_changed = not transport.is_unchanged(context.datagram)
    assert is_changed == (expected == 'yes')


@when('{count:d} bytes are sent each way and {loss:g} of the packets are lost')
def transfer_both_ways(context, count, loss):
    rng = random.Random(SEED)
    context.data = [rng.randbytes(count) for _ in range(2)]
    context.received = [b'', b'']
    wires = ([], [])
    ends = []
    for side in range(2):

        def send(flags, sequence, data, side=side):
            if rng.random() >= loss:
                end = ends[side]
                packet = transport.Packet(
                    sequence, end.received, ROUTE, ROUTE, 0, flags, data
                )
                wires[1 - side].append(packet)

        ends.append(transport.FlowEnd(send, 1_000 * side, 1_000 * (1 - side)))
    for end, data in zip(ends, context.data, strict=True):
        end.write(data, 0)
    for now_ms in range(0, LAST_MS, TICK_MS):
        for side, end in enumerate(ends):
            arrived, wires[side][:] = list(wires[side]), []
            for packet in arrived:
                context.received[side] += end.receive(packet, now_ms)
            end.tick(now_ms)


@then('each end has received what the other one wrote')
def both_hold(context):
    assert context.received[0] == context.data[1]
    assert context.received[1] == context.data[0]


# Plans.


@when('plans are drawn from the seeds 1, 1 and 2')
def plans_drawn(context):
    context.plans = [
        faults.draw_plan(seed, 20_000, 6, 9) for seed in (1, 1, 2)
    ]


@then('the first two are equal and the third is not')
def plans_are_equal(context):
    first, second, third = context.plans
    assert first == second != third


@then('{count:d} seeds draw every kind of fault')
def every_kind(context, count):
    drawn = {
        type(fault)
        for seed in range(count)
        for fault in (
            *faults.draw_plan(seed, 20_000, 6, 9),
            *faults.draw_evacuations(seed, 20_000),
            *faults.draw_extra_faults(seed, 20_000, 9),
            *faults.draw_signalled_stops(seed, 20_000, 6),
        )
    }
    groups = {faults.Fault, faults.BalancerFault, faults.TargetFault}
    kinds = {
        one
        for one in vars(faults).values()
        if isinstance(one, type) and issubclass(one, faults.Fault)
    }
    assert drawn == kinds - groups, kinds - groups - drawn
