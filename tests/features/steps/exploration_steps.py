"""Steps that explore all interleavings of small worlds."""

from copy import deepcopy

from attrs import define
from attrs import Factory
from behave import then
from behave import when
from home_steps import SERVICE

from liftmount._internal.decisions import claims
from liftmount._internal.decisions import requests
from liftmount._internal.decisions.home import make_home_state
from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.decisions.rollout import ObjectStore
from liftmount._internal.decisions.rollout import ViewBuilder
from liftmount._internal.models import actions as act
from liftmount._internal.models import events
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.objects import Claim
from liftmount._internal.models.objects import DomainStatus
from liftmount._internal.models.settings import LimitSettings

CALLERS = ('c1', 'c2')
HOMES = ('b1', 'b2')
NOW_MS = 1_000


def caller_address(caller):
    return Endpoint('10.0.0.1', int(caller[1]))


@define
class World:
    """Two homes, what is under way, what ran, and what callers know.

    ``packets`` are (kind, caller); each caller's token names the home and
    its incarnation.  ``at_target`` are (home, incarnation, id, caller).
    """

    states: dict
    incarnations: dict
    tokens: dict
    packets: list = Factory(list)
    at_target: list = Factory(list)
    runs: dict = Factory(lambda: dict.fromkeys(CALLERS, 0))
    verdicts: dict = Factory(dict)
    restarts: int = 1
    copies: int = 1
    cancels: int = 1

    def key(self):
        """Return what tells this world from others."""
        homes = tuple(
            (
                self.incarnations[name],
                tuple(
                    (nonce, flow.window and flow.window.bitmap)
                    for nonce, flow in sorted(state.flows.flows.items())
                ),
                tuple(
                    (one.request_id, one.target, one.finished)
                    for one in state.pending.values()
                ),
            )
            for name, state in self.states.items()
        )
        return (
            homes,
            tuple(sorted(self.packets)),
            tuple(sorted(self.at_target)),
            tuple(self.runs.values()),
            tuple(sorted((c, tuple(v)) for c, v in self.verdicts.items())),
            (self.restarts, self.copies, self.cancels),
        )


def make_home(nonces):
    state = make_home_state(LimitSettings(), 'a')
    infos = [TargetInfo('t1', 'a')]
    state.pool_state(SERVICE.pool_key).pool.update(infos, NOW_MS)
    for caller, nonce in nonces.items():
        asked = events.FlowAsked(
            service=SERVICE,
            caller=caller_address(caller),
            flow_id=caller.encode(),
            name=b'',
            sequence=0,
            target='',
            target_incarnation=0,
            nonce=nonce,
            now_ms=NOW_MS,
        )
        requests.decide(state, asked)
    return state


def first_world():
    nonces = {caller: n for n, caller in enumerate(CALLERS, 1)}
    return World(
        states={'b1': make_home(nonces), 'b2': make_home({})},
        incarnations=dict.fromkeys(HOMES, 1),
        tokens={caller: ('b1', 1, n) for caller, n in nonces.items()},
        packets=[('request', caller) for caller in CALLERS],
    )


def feed(world, home, event):
    """Let a home decide, and put its actions into the world."""
    state = world.states[home]
    for action in requests.decide(state, event):
        match action:
            case act.SendRequest():
                pending = state.pending[action.request_id]
                caller = f'c{pending.caller.port}'
                sent = (home, world.incarnations[home], action.request_id)
                world.at_target.append((*sent, caller))
            case act.Reply():
                caller = f'c{action.caller.port}'
                verdict = action.outcome.verdict.value
                world.verdicts.setdefault(caller, set()).add(verdict)


def deliver(world, packet):
    """Bring a packet to the home that its token names, or refuse it."""
    kind, caller = packet
    world.packets.remove(packet)
    home, incarnation, nonce = world.tokens[caller]
    if world.incarnations[home] != incarnation:
        # The caller learns that its home is gone; its request is in doubt.
        world.verdicts.setdefault(caller, set()).add('may_have_run')
        return
    if kind == 'cancel':
        event = events.CancelArrived(nonce, 1, NOW_MS)
    else:
        event = events.RequestArrived(
            nonce, caller_address(caller), 1, 0, b'', NOW_MS
        )
    feed(world, home, event)


def end_at_target(world, item, how):
    """Let a target answer, refuse or lose one request."""
    world.at_target.remove(item)
    home, incarnation, request_id, caller = item
    if how in ('ran', 'ran, answer lost'):
        world.runs[caller] += 1
    if world.incarnations[home] != incarnation:
        return
    if how == 'ran':
        event = events.TargetAnswered(request_id, b'', NOW_MS)
    elif how == 'refused':
        event = events.TargetRefused(request_id, 0, False, NOW_MS)
    else:
        event = events.RequestLost(request_id, True, NOW_MS)
    feed(world, home, event)


def restart(world):
    world.restarts -= 1
    world.incarnations['b1'] += 1
    world.states['b1'] = make_home({})


def add_copy(world, packet):
    world.copies -= 1
    world.packets.append(packet)


def add_cancel(world):
    world.cancels -= 1
    world.packets.append(('cancel', 'c1'))


def steps(world):
    """Return every step that may come next."""
    found = []
    for packet in sorted(set(world.packets)):
        found.append((deliver, packet))
        if world.copies:
            found.append((add_copy, packet))
    for item in sorted(set(world.at_target)):
        for how in ('ran', 'ran, answer lost', 'refused', 'lost'):
            found.append((end_at_target, item, how))
    if world.restarts:
        found.append((restart,))
    if world.cancels:
        found.append((add_cancel,))
    return found


def check_world(world):
    for caller in CALLERS:
        verdicts = world.verdicts.get(caller, set())
        assert world.runs[caller] <= 1, world
        if 'not_run' in verdicts:
            assert world.runs[caller] == 0, world
            assert 'ran' not in verdicts, world
        if 'ran' in verdicts:
            assert world.runs[caller] == 1, world


def explore(first, find_steps, check):
    """Visit every world that steps lead to; return how many there are."""
    seen = {first.key()}
    waiting = [first]
    while waiting:
        world = waiting.pop()
        check(world)
        for call, *arguments in find_steps(world):
            following = deepcopy(world)
            call(following, *arguments)
            key = following.key()
            if key not in seen:
                seen.add(key)
                waiting.append(following)
    return len(seen)


@when('every interleaving of requests is explored')
def explore_requests(context):
    context.states = explore(first_world(), steps, check_world)


@then(
    'no request ran twice and no verdict was wrong in more than {least:d} '
    'states'
)
@then('the two teams were never served at once in more than {least:d} states')
def enough_states(context, least):
    print(f'{context.states} states were explored.')
    assert context.states > least, context.states


ADDRESS = '10.1.0.1:443'
BALANCERS = ('lm-1', 'lm-2')


def written(document):
    return {
        'document': document,
        'writer': 'w',
        'nonce': 'n',
        'written_wall_ms': 0,
    }


def team(name, version, holds):
    document = {
        'name': name,
        'template': 'firm',
        'addresses': {'guidance': ADDRESS} if holds else {},
        'caller_prefixes': ['10.0.0.0/8'],
    }
    return StoredObject(f'team/{name}', version, written(document))


@define
class Move:
    """An address that moves from firm-a to firm-b.

    ``log`` is what the store was given; balancers get it in any order.
    ``reported`` is what each balancer's domain last reported.
    """

    log: list
    held: dict
    reported: dict

    def key(self):
        """Return what tells this world from others."""
        held = tuple(tuple(sorted(one)) for one in self.held.values())
        return (len(self.log), held, tuple(self.reported.values()))


def first_move():
    service = {'name': 'guidance', 'mode': 'stream', 'pool': 'guidance'}
    template = {'name': 'firm', 'services': [service]}
    claim = {
        'team': 'firm-a',
        'service': 'guidance',
        'generation': 1,
        'state': 'held',
    }
    before = [
        StoredObject('template/firm', 1, written(template)),
        team('firm-a', 2, True),
        team('firm-b', 3, False),
        StoredObject(f'claim/{ADDRESS}', 4, claim),
    ]
    log = [*before, team('firm-a', 5, False), team('firm-b', 6, True)]
    everything = frozenset(range(len(before)))
    return Move(
        log=log,
        held=dict.fromkeys(BALANCERS, everything),
        reported=dict.fromkeys(BALANCERS, 4),
    )


def store_of(world, indexes):
    store = ObjectStore()
    for index in sorted(indexes):
        store.apply(world.log[index])
    return store


def served_by(world, name):
    view = ViewBuilder().build(store_of(world, world.held[name]))
    return {service.team for service in view.services.values()}


def give(world, name, index):
    world.held[name] = world.held[name] | {index}


def report(world, name):
    """Report the highest version up to which nothing is missing."""
    index = 0
    while index in world.held[name]:
        index += 1
    world.reported[name] = world.log[index - 1].version


def lead(world):
    """Let a lease holder that holds all write the claims."""
    store = store_of(world, range(len(world.log)))
    view = ViewBuilder().build(store)
    key = f'claim/{ADDRESS}'
    claim: Claim = store.valid[key]
    known = {ADDRESS: (store.objects[key].version, claim)}
    statuses = [
        DomainStatus(name, name, 1, revision)
        for name, revision in world.reported.items()
    ]
    for step in claims.decide(view, known, statuses, set(BALANCERS)):
        if isinstance(step, claims.WriteClaim):
            value = {
                'team': step.claim.team,
                'service': step.claim.service,
                'generation': step.claim.generation,
                'state': step.claim.state,
            }
            version = world.log[-1].version + 1
            world.log.append(StoredObject(key, version, value))


def move_steps(world):
    found = [(lead,)]
    for name in BALANCERS:
        found.append((report, name))
        for index in range(len(world.log)):
            if index not in world.held[name]:
                found.append((give, name, index))
    return found


def check_move(world):
    served = set()
    for name in BALANCERS:
        served |= served_by(world, name)
    assert len(served) <= 1, (served, world.held)


@when('every interleaving of the move is explored')
def explore_move(context):
    context.states = explore(first_move(), move_steps, check_move)
