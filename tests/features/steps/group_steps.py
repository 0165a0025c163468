"""Steps on the decisions of the group of balancers."""

import itertools

from behave import given
from behave import then
from behave import when
import cbor2
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from liftmount._internal.decisions import claims
from liftmount._internal.decisions import keys
from liftmount._internal.decisions import lease
from liftmount._internal.decisions import membership
from liftmount._internal.decisions.ownership import Ownership
from liftmount._internal.decisions.relay import SubtreeReports
from liftmount._internal.decisions.rollout import ConfigurationView
from liftmount._internal.decisions.rollout import ObjectStore
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.envelopes import PEER_MEMBERSHIP
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.objects import Claim
from liftmount._internal.models.objects import ClaimState
from liftmount._internal.models.objects import DomainStatus
from liftmount._internal.models.records import Tick

TIMES = membership.MembershipTimes()
STEP_MS = 25


class Group:
    """Members that exchange messages on a manual clock."""

    def __init__(self, size):
        self.now_ms = 0
        self.silent = set()
        self.halves = None
        seed = Endpoint('10.0.0.1', 1)
        self.states = {}
        for number in range(1, size + 1):
            self.states[number] = self.make(number, seed, 1)

    def make(self, number, seed, incarnation):
        own = Member(
            name=f'lm-{number}',
            failure_domain='a',
            peer=Endpoint(f'10.0.0.{number}', 1),
            control=Endpoint(f'10.0.0.{number}', 2),
            incarnation=incarnation,
        )
        return membership.make_membership(own, TIMES, [seed], self.now_ms)

    def run(self, periods):
        end_ms = self.now_ms + periods * TIMES.period_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for number, state in self.states.items():
                if number not in self.silent:
                    event = Tick(self.now_ms)
                    self.deliver(number, membership.decide(state, event))

    def deliver(self, sender, actions):
        for action in actions:
            if not isinstance(action, membership.SendDatagram):
                continue
            receiver = int(action.destination.ip.rpartition('.')[2])
            if receiver in self.silent or self.is_partitioned(
                sender, receiver
            ):
                continue
            tag, message = cbor2.loads(action.datagram)
            assert tag == PEER_MEMBERSHIP
            source = self.states[sender].own.peer
            arrived = membership.MessageArrived(message, source, self.now_ms)
            further = membership.decide(self.states[receiver], arrived)
            self.deliver(receiver, further)

    def is_partitioned(self, one, other):
        return self.halves is not None and one % 2 != other % 2


@given('a group of {size:d} members that know one seed')
def make_group(context, size):
    context.group = Group(size)


@when('{count:d} periods pass')
def periods_pass(context, count):
    context.group.run(count)


@then('all members know each other')
def all_known(context):
    group = context.group
    for state in group.states.values():
        others = {one.own.name for one in group.states.values()}
        others -= {state.own.name}
        found = {one.name for one in state.reachable()}
        assert found == others, (state.own.name, others - found)
        for other in group.states.values():
            known = state.find(other.own.name)
            assert known.incarnation == other.own.incarnation


@when('member {number:d} stops responding')
def stops_responding(context, number):
    context.group.silent.add(number)


@when('member {number:d} responds again')
def responds_again(context, number):
    context.group.silent.discard(number)


@when('member {number:d} restarts')
def member_restarts(context, number):
    group = context.group
    group.states[number] = group.make(number, Endpoint('10.0.0.1', 1), 2)


@then('all others consider member {number:d} dead')
def considered_dead(context, number):
    for other, state in context.group.states.items():
        if other != number:
            status = state.members[f'lm-{number}'].status
            assert status is MemberStatus.DEAD, (other, status)


@when('the members are partitioned into two halves')
def partition_halves(context):
    context.group.halves = True


@when('the partition is healed')
def heal_partition(context):
    context.group.halves = None


@then('each half considers the other dead')
def halves_dead(context):
    for number, state in context.group.states.items():
        for one in state.members.values():
            other = int(one.name.removeprefix('lm-'))
            expected = not context.group.is_partitioned(number, other)
            assert one.reachable == expected, (number, one)


@then('no member sent more than {limit:d} bytes a second')
def within_budget(context, limit):
    seconds = context.group.now_ms / 1000
    for state in context.group.states.values():
        rate = state.sent_bytes / seconds
        assert 0 < rate <= limit, (state.own.name, rate)


class LeaseStore:
    """A store of one lease and the members that compete for it."""

    def __init__(self, duration_ms):
        self.value = None
        self.version = 0
        self.duration_ms = duration_ms
        self.now_ms = 0
        self.states = {}

    def state(self, name):
        if name not in self.states:
            self.states[name] = lease.LeaseState(name, 1, self.duration_ms)
        return self.states[name]

    def read(self, name):
        event = lease.LeaseRead(self.value, self.version, self.now_ms)
        return lease.decide(self.state(name), event)

    def write(self, name, step):
        state = self.state(name)
        if step.expected_version != self.version:
            lease.decide(state, lease.LeaseWriteFailed())
            return
        self.version += 1
        self.value = step.value
        written = lease.LeaseWritten(step.value, self.version, self.now_ms)
        lease.decide(state, written)

    def tick(self, name):
        """Execute all steps that a tick returns."""
        state = self.state(name)
        state.next_step_ms = 0
        for step in lease.decide(state, Tick(self.now_ms)):
            if isinstance(step, lease.ReadLease):
                for further in self.read(name):
                    self.write(name, further)
            else:
                self.write(name, step)

    def holders(self):
        return [
            name
            for name, state in self.states.items()
            if state.is_held(self.now_ms)
        ]


@given('a lease of {duration:d} ms held by "{name}"')
def held_lease(context, duration, name):
    context.lease = LeaseStore(duration)
    context.lease.tick(name)
    context.lease.tick('b')
    assert context.lease.holders() == [name]


@when('{pause:d} ms pass without a renewal')
def pause(context, pause):
    context.lease.now_ms += pause


@when('"{name}" tries to take it')
@when('"{name}" renews with its outdated state')
def try_lease(context, name):
    store = context.lease
    state = store.state(name)
    if name == 'a':
        # After the pause its state still says that it holds the lease.
        state.held_until_ms = store.now_ms + 1
    store.tick(name)


@then('"{name}" does hold the lease')
@then('"{name}" does still hold the lease')
def holds(context, name):
    assert name in context.lease.holders()


@then('"{name}" does not hold the lease')
def holds_not(context, name):
    assert name not in context.lease.holders()


@then('the store holds the lease of "{name}" with epoch {epoch:d}')
def store_holds(context, name, epoch):
    value = context.lease.value
    assert (value.holder, value.epoch) == (name, epoch), value


@then('for any order of reads and writes at most one holds the lease')
def one_holder(_context):
    names = ('a', 'b', 'c')
    step = st.tuples(st.sampled_from(names), st.integers(0, 3_000))

    @for_any(st.lists(step, max_size=60))
    @settings(max_examples=300, derandomize=True, database=None)
    def check(steps):
        store = LeaseStore(2_000)
        epoch = 0
        for name, pass_ms in steps:
            store.now_ms += pass_ms
            store.tick(name)
            assert len(store.holders()) <= 1, store.holders()
            if store.value is not None:
                assert store.value.epoch >= epoch
                epoch = store.value.epoch

    check()


def make_service(team):
    return Service(
        team=team,
        name='guidance',
        mode='stream',
        pool='guidance',
        address=parse_endpoint('10.1.0.1:443'),
        priority='urgent',
        repeatable=False,
        deadline_ms=1_000,
        max_queue=1,
        networks=(),
    )


@given('address "{address}" is {claim}')
def claim_is(context, address, claim):
    context.address = address
    state, _by, team = claim.partition(' by ')
    context.claims = {}
    if team:
        value = 'held' if state == 'held' else ClaimState.RELEASING.value
        found = Claim(team, 'guidance', 1, value)
        context.claims[address] = (10, found)


@given('it is requested by "{teams}"')
def requested_by(context, teams):
    services = [make_service(team) for team in teams.split(',')]
    address = parse_endpoint(context.address)
    context.view = ConfigurationView(wanted={address: services})


@given('the release is in force in domains "{released}" of "{domains}"')
@given('the release is in force in domains "" of "{domains}"')
def released_in(context, domains, released=''):
    context.domains = set(domains.split(','))
    context.statuses = [
        DomainStatus(
            failure_domain=domain,
            holder='lm-1',
            epoch=1,
            revision=10 if domain in released.split(',') else 9,
        )
        for domain in context.domains
    ]


@then('the decision is "{decision}"')
def decision_is(context, decision):
    found = claims.decide(
        context.view, context.claims, context.statuses, context.domains
    )
    if decision == 'nothing':
        assert found == [], found
    elif decision == 'conflict':
        assert isinstance(found[0], claims.ClaimConflict), found
        assert found[0].holder == 'firm-a/guidance'
    else:
        state, team, generation = decision.split()
        claim = found[0].claim
        shown = (claim.state, claim.team, str(claim.generation))
        assert shown == (state, team, generation), shown


KEY_TIMES = keys.RotationTimes(rotation_ms=2_000, overlap_ms=9_000)


@given('no flow keys')
def no_keys(context):
    context.keys = None


@when('keys are decided on at {wall_ms:d} ms')
def decide_keys(context, wall_ms, in_force=True):
    found = keys.decide(
        context.keys, KEY_TIMES, in_force, f'{wall_ms:08x}', wall_ms
    )
    context.keys = found or context.keys


@when('keys are decided on at {wall_ms:d} ms while not in force')
def decide_keys_not(context, wall_ms):
    decide_keys(context, wall_ms, in_force=False)


@then('key {current:d} seals and keys "{ids}" open')
def check_keys(context, current, ids):
    ring = keys.make_ring(context.keys)
    assert ring.current == current, ring
    assert set(ring.keys) == {int(one) for one in ids.split(',')}, ring


@given('{count:d} balancers in domains "{domains}" and {pools:d} pools')
def make_ownership(context, count, domains, pools):
    context.ownership = Ownership()
    names = itertools.cycle(domains.split(','))
    for number in range(count):
        context.ownership.add(f'lm-{number}', next(names))
    context.pools = [f'team-{one}/pool' for one in range(pools)]
    context.before = find_owners(context)


def find_owners(context):
    wanted = frozenset({'a'})
    return {
        pool: context.ownership.owner(pool, wanted) for pool in context.pools
    }


@when('balancer "{name}" leaves')
def balancer_leaves(context, name):
    domain = context.ownership.domains[name]
    context.left_domain = domain
    context.ownership.remove(name)


@then('only pools of "{name}" change their owner')
def only_pools_of(context, name):
    after = find_owners(context)
    for pool, owner in context.before.items():
        if owner != name:
            assert after[pool] == owner
        else:
            assert after[pool] != name


@when('balancer "{name}" returns')
def balancer_returns(context, name):
    context.ownership.add(name, context.left_domain)


@then('the owners are as before')
def owners_as_before(context):
    assert find_owners(context) == context.before


def parse_digests(text):
    pairs = (one.split('=') for one in text.split(','))
    return {name: digest.encode() for name, digest in pairs}


@given(
    'balancer "{name}" holds digest "{own}" and receives "{received}" '
    'from child "{child}"'
)
def reports_of(context, name, own, received, child):
    context.reports = SubtreeReports(name, own.encode())
    context.reports.note_child(child, parse_digests(received))


@when('child "{child}" is removed')
def child_removed(context, child):
    context.reports.drop_child(child)


@then('it reports "{expected}"')
def it_reports(context, expected):
    assert context.reports.combined() == parse_digests(expected)


@then('for any order of arrival all stores converge and never revert')
def stores_converge(_context):
    items = [
        StoredObject(f'drain/t{name}', version, value)
        for version, name, value in (
            (1, 1, {'target': 't1', 'asked_wall_ms': 1}),
            (2, 2, {'target': 't2', 'asked_wall_ms': 1}),
            (3, 1, None),
            (4, 2, {'target': 't2', 'asked_wall_ms': 2}),
            (5, 1, {'target': 't1', 'asked_wall_ms': 3}),
        )
    ]

    @for_any(st.permutations(items + items))
    @settings(max_examples=200, derandomize=True, database=None)
    def check(order):
        store = ObjectStore()
        seen = {}
        for item in order:
            store.apply(item)
            for key, version in store.versions().items():
                assert version >= seen.get(key, 0)
                seen[key] = version
        other = ObjectStore()
        for item in items:
            other.apply(item)
        assert store.digest == other.digest
        assert store.valid == other.valid

    check()
