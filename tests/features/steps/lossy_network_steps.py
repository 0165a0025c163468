"""Steps on members that compare their lists on a network with losses."""

from concurrent.futures import ProcessPoolExecutor
import os

from behave import given
from behave import then
from behave import when
import cbor2

from liftmount._internal.decisions import failure_detector
from liftmount._internal.decisions import gossip
from liftmount._internal.decisions import membership
from liftmount._internal.decisions.member_comparison import MIN_INTERVAL_MS
from liftmount._internal.decisions.member_digests import PART_DIGEST_BYTES
from liftmount._internal.decisions.member_digests import PARTS
from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.membership_messages import COMPARE
from liftmount._internal.models.membership_messages import MembershipMessage
from liftmount._internal.models.records import evolve
from liftmount._internal.models.records import Tick
from tests.lossy_network import Faults
from tests.lossy_network import LossyNetwork
from tests.lossy_network import play

TIMES = membership.MembershipTimes()
LONG_MS = 60_000
PERCENT = 100


@given('{starts:d} starts of {size:d} members on a network that loses '
       '{loss:d} % of the datagrams')  # fmt: skip
def starts_with_losses(context, starts, size, loss):
    context.networks = [
        LossyNetwork(size, seed, Faults(loss / PERCENT, seed % 2 == 0))
        for seed in range(starts)
    ]


@given('each member stalls for up to {stall:d} ms about every 4 s')
def members_stall(context, stall):
    for network in context.networks:
        network.faults = evolve(network.faults, stall_ms=stall)


@given('proxies hide the address of a sender')
def proxies_hide(context):
    for network in context.networks:
        network.faults = evolve(network.faults, has_links=True)


@when('one member of each stops, and {interval:d} s pass')
def one_stops(context, interval):
    for network in context.networks:
        network.stop(1 + network.seed % network.size)
    seconds_pass(context, interval)


@when('{interval:d} s pass')
def seconds_pass(context, interval):
    until_ms = context.networks[0].now_ms + interval * 1_000
    jobs = max(1, (os.cpu_count() or 1) // 2)
    with ProcessPoolExecutor(jobs) as pool:
        context.networks = list(
            pool.map(
                play, context.networks, [until_ms] * len(context.networks)
            )
        )


@then('every member lists all others in each of them')
def all_listed(context):
    found = {
        network.seed: network.unlisted()
        for network in context.networks
        if network.unlisted()
    }
    assert not found, found


@then('no member holds a living one for dead in any of them')
def none_held_for_dead(context):
    found = {
        network.seed: network.held_for_dead()
        for network in context.networks
        if network.held_for_dead()
    }
    assert not found, found


@then('all others hold it for dead in each of them')
def stopped_is_dead(context):
    for network in context.networks:
        (stopped,) = network.stopped
        living = set(network.states) - {stopped}
        name = f'lm-{stopped}'
        found = network.held_for_dead()
        holders = {holder for holder, one in found if one == name}
        assert holders == {f'lm-{one}' for one in living}, (
            network.seed,
            holders,
        )


@then('none of their members sent more than {limit:d} bytes a second')
def members_sent_below(context, limit):
    for network in context.networks:
        for state in network.states.values():
            rate = state.sent_bytes / (network.now_ms / 1_000)
            assert rate <= limit, (network.seed, state.own.name, rate)


def make_record(number, domain='a'):
    """Return the record of a member."""
    peer = Endpoint(f'10.1.{number >> 8}.{number & 255}', 1)
    return Member(f'lm-{number}', domain, peer, peer, 1)


def make_state(number, others):
    """Return the state of a member that lists others and gossips nothing."""
    state = membership.make_membership(make_record(number), TIMES, (), 0)
    membership.learn_all(state, others, 0)
    state.gossip.clear()
    return state


class Pair:
    """Two members whose datagrams arrive at once."""

    def __init__(self, one, other):
        self.states = {one.own.peer: one, other.own.peer: other}
        self.one = one
        self.other = other
        self.now_ms = LONG_MS
        self.datagrams = []

    def execute(self, sender, actions):
        """Deliver the datagrams of a member, and all that answer them."""
        for action in actions:
            if isinstance(action, membership.SendDatagram):
                self.datagrams.append(action.datagram)
                receiver = self.states[action.destination]
                _tag, fields = cbor2.loads(action.datagram)
                event = membership.MessageArrived(
                    fields, sender.own.peer, self.now_ms
                )
                self.execute(receiver, membership.decide(receiver, event))

    def tick(self, sender):
        """Let time go by for a member."""
        event = Tick(self.now_ms)
        self.execute(sender, membership.decide(sender, event))

    def excuse_from_comparisons(self):
        """Let no comparison of lists be due."""
        for state in self.states.values():
            state.comparison.compared_ms = self.now_ms

    def ping(self):
        """Let the first member ping the second one."""
        actions = membership.farewell(self.one, self.other.own)
        self.execute(self.one, actions)

    def compare(self):
        """Let the first member ping the second one when it may compare."""
        self.now_ms += MIN_INTERVAL_MS * 2
        for state in (self.one, self.other):
            state.gossip.clear()
            state.credit_bytes = TIMES.bytes_per_second
        self.ping()

    def lists(self):
        """Return both lists of reachable members, as sets of records."""
        return [
            {(one.name, one.version) for one in state.reachable()}
            | {(state.own.name, state.own.version)}
            for state in (self.one, self.other)
        ]


@given('a member that lists another one, which does not list it')
def one_sided(context):
    one = make_state(1, [make_record(2)])
    context.pair = Pair(one, make_state(2, []))
    context.pair.excuse_from_comparisons()


@when('it pings the other one')
def pings_other(context):
    context.pair.tick(context.pair.one)


@then('the other one lists it after {count:d} datagrams')
def lists_after(context, count):
    pair = context.pair
    assert pair.other.find(pair.one.own.name) == pair.one.own
    assert len(pair.datagrams) <= count, len(pair.datagrams)


@given('a member that has just pinged another one')
def has_pinged(context):
    one = make_state(1, [make_record(2)])
    context.pair = Pair(one, make_state(2, [make_record(1)]))
    # Its ping and the answer are still on their way.
    membership.decide(one, Tick(context.pair.now_ms))
    assert one.probes


@when('it does not run for {stall:d} ms and the answer waits in its socket')
def does_not_run(context, stall):
    pair = context.pair
    pair.now_ms += stall
    # The tick runs before the socket is read.
    membership.decide(pair.one, Tick(pair.now_ms))


@then('it does not suspect the other one')
def does_not_suspect(context):
    statuses = [one.status for one in context.pair.one.members.values()]
    assert statuses == [MemberStatus.ALIVE], statuses


@given('a member that marks another one as {status}')
def marks_other(context, status):
    one = make_state(1, [make_record(2)])
    doubted = make_record(2).with_status(MemberStatus[status.upper()])
    membership.learn(one, doubted, LONG_MS)
    one.gossip.clear()
    context.pair = Pair(one, make_state(2, [make_record(1)]))
    context.pair.excuse_from_comparisons()


@when('the member pings it')
def member_pings(context):
    pair = context.pair
    pair.one.next_period_ms = 0
    pair.tick(pair.one)


@when('the member probes dead ones')
def member_probes_dead(context):
    context.pair.one.periods = failure_detector.DEAD_PROBE_PERIODS - 1
    member_pings(context)


@when('it pings the member')
def other_pings(context):
    context.pair.tick(context.pair.other)


@then('the other one has refuted it, and is alive there after {count:d} '
      'datagrams')  # fmt: skip
def other_has_refuted(context, count):
    pair = context.pair
    held = pair.one.find(pair.other.own.name)
    assert held == pair.other.own, (held, pair.other.own)
    assert held.status is MemberStatus.ALIVE
    assert len(pair.datagrams) <= count, len(pair.datagrams)


@given('two members, one of which holds an outdated record of a third one')
def outdated_record(context):
    third = make_record(3)
    context.current = evolve(third, version=4)
    one = make_state(1, [make_record(2), third])
    other = make_state(2, [make_record(1), context.current])
    context.pair = Pair(one, other)
    context.pair.excuse_from_comparisons()


@when('that one gossips the record to the other')
def gossips_outdated(context):
    pair = context.pair
    gossip.queue_gossip(pair.one, 'lm-3')
    pair.ping()


@then('it holds the current record after {count:d} datagrams')
def holds_current(context, count):
    assert context.pair.one.find('lm-3') == context.current
    assert len(context.pair.datagrams) <= count


@given('two lists of {members:d} members, of which {one:d} are missing in '
       'one and {other:d} in the other')  # fmt: skip
def lists_differ(context, members, one, other):
    records = [make_record(number) for number in range(members)]
    first, second, *rest = records
    missing = rest[:one]
    missing_other = rest[one : one + other]
    context.pair = Pair(
        make_state(0, [x for x in records if x not in (first, *missing)]),
        make_state(
            1, [x for x in records if x not in (second, *missing_other)]
        ),
    )


@given('two lists of 8 members, one of which marks a member as {status}')
def lists_differ_in_status(context, status):
    lists_differ(context, 8, 0, 0)
    gone = make_record(5).with_status(MemberStatus[status.upper()])
    membership.learn(context.pair.other, gone, 0)


@given('two lists of 8 members, one of which has forgotten a dead member')
def lists_differ_in_forgotten(context):
    lists_differ(context, 8, 1, 1)
    dead = make_record(2).with_status(MemberStatus.DEAD)
    membership.learn(context.pair.other, dead, 0)
    context.forgotten = dead.name


@when('one member compares its list {times:d} times')
def compares(context, times):
    for _ in range(times):
        context.pair.compare()


@then('both lists are equal')
def lists_equal(context):
    one, other = context.pair.lists()
    assert one == other, (sorted(one - other), sorted(other - one))


@then('no datagram was above {most:d} bytes, and all together below '
      '{limit:d} bytes')  # fmt: skip
def datagrams_below(context, most, limit):
    sizes = [len(one) for one in context.pair.datagrams]
    assert max(sizes) <= most, max(sizes)
    assert sum(sizes) < limit, sum(sizes)


@then('the forgotten member is still unknown')
def still_unknown(context):
    assert context.pair.one.find(context.forgotten) is None


@when('a comparison of the range {text} arrives')
def comparison_arrives(context, text):
    first, count, digests = text.split()
    length = PARTS * PART_DIGEST_BYTES if digests == 'full' else 3
    message = MembershipMessage(
        kind=COMPARE,
        sequence=0,
        sender=context.pair.one.own.name,
        incarnation=1,
        digest=b'',
        updates=[],
        list_range=[int(first), int(count), bytes(length)],
    )
    _tag, fields = cbor2.loads(message.encode())
    event = membership.MessageArrived(
        fields, context.pair.one.own.peer, LONG_MS
    )
    try:
        membership.decide(context.pair.other, event)
    except PacketError as error:
        context.refused = error
    else:
        context.refused = None


@then('it is refused as malformed')
def refused_malformed(context):
    assert context.refused is not None
