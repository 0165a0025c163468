"""Steps that explore all interleavings of events in small systems."""

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
class System:
    """Two homes, their packets and requests, and what callers received.

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
        """Return a key that identifies this state."""
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


def first_system():
    nonces = {caller: n for n, caller in enumerate(CALLERS, 1)}
    return System(
        states={'b1': make_home(nonces), 'b2': make_home({})},
        incarnations=dict.fromkeys(HOMES, 1),
        tokens={caller: ('b1', 1, n) for caller, n in nonces.items()},
        packets=[('request', caller) for caller in CALLERS],
    )


def feed(system, home, event):
    """Decide on an event at a home and apply its actions."""
    state = system.states[home]
    for action in requests.decide(state, event):
        match action:
            case act.SendRequest():
                pending = state.pending[action.request_id]
                caller = f'c{pending.caller.port}'
                sent = (home, system.incarnations[home], action.request_id)
                system.at_target.append((*sent, caller))
            case act.Reply():
                caller = f'c{action.caller.port}'
                verdict = action.outcome.verdict.value
                system.verdicts.setdefault(caller, set()).add(verdict)


def deliver(system, packet):
    """Deliver a packet to the home that its token names, or refuse it."""
    kind, caller = packet
    system.packets.remove(packet)
    home, incarnation, nonce = system.tokens[caller]
    if system.incarnations[home] != incarnation:
        # The home has restarted, so the request may have run.
        system.verdicts.setdefault(caller, set()).add('may_have_run')
        return
    if kind == 'cancel':
        event = events.CancelArrived(nonce, 1, NOW_MS)
    else:
        event = events.RequestArrived(
            nonce, caller_address(caller), 1, 0, b'', NOW_MS
        )
    feed(system, home, event)


def end_at_target(system, item, how):
    """End a request at its target: answered, refused or lost."""
    system.at_target.remove(item)
    home, incarnation, request_id, caller = item
    if how in ('ran', 'ran, answer lost'):
        system.runs[caller] += 1
    if system.incarnations[home] != incarnation:
        return
    if how == 'ran':
        event = events.TargetAnswered(request_id, b'', NOW_MS)
    elif how == 'refused':
        event = events.TargetRefused(request_id, 0, False, NOW_MS)
    else:
        event = events.RequestLost(request_id, True, NOW_MS)
    feed(system, home, event)


def restart(system):
    system.restarts -= 1
    system.incarnations['b1'] += 1
    system.states['b1'] = make_home({})


def add_copy(system, packet):
    system.copies -= 1
    system.packets.append(packet)


def add_cancel(system):
    system.cancels -= 1
    system.packets.append(('cancel', 'c1'))


def steps(system):
    """Return all steps that are possible next."""
    found = []
    for packet in sorted(set(system.packets)):
        found.append((deliver, packet))
        if system.copies:
            found.append((add_copy, packet))
    for item in sorted(set(system.at_target)):
        for how in ('ran', 'ran, answer lost', 'refused', 'lost'):
            found.append((end_at_target, item, how))
    if system.restarts:
        found.append((restart,))
    if system.cancels:
        found.append((add_cancel,))
    return found


def check_system(system):
    for caller in CALLERS:
        verdicts = system.verdicts.get(caller, set())
        assert system.runs[caller] <= 1, system
        if 'not_run' in verdicts:
            assert system.runs[caller] == 0, system
            assert 'ran' not in verdicts, system
        if 'ran' in verdicts:
            assert system.runs[caller] == 1, system


def explore(first, find_steps, check):
    """Visit all states that steps lead to and return their number."""
    seen = {first.key()}
    waiting = [first]
    while waiting:
        system = waiting.pop()
        check(system)
        for call, *arguments in find_steps(system):
            following = deepcopy(system)
            call(following, *arguments)
            key = following.key()
            if key not in seen:
                seen.add(key)
                waiting.append(following)
    return len(seen)


@when('every interleaving of requests is explored')
def explore_requests(context):
    context.states = explore(first_system(), steps, check_system)


@then(
    'in more than {least:d} states no request ran twice and no verdict was '
    'wrong'
)
@then('in more than {least:d} states the two teams were never served at once')
def enough_states(context, least):
    print(f'{context.states} states were explored.')
    assert context.states > least, context.states


ADDRESS = '10.1.0.1:443'
BALANCERS = ('lm-1', 'lm-2')


def make_stored(document):
    return {
        'document': document,
        'writer': 'w',
        'nonce': 'n',
        'written_wall_ms': 0,
    }


def team(name, version, has_address):
    document = {
        'name': name,
        'template': 'firm',
        'addresses': {'guidance': ADDRESS} if has_address else {},
        'caller_prefixes': ['10.0.0.0/8'],
    }
    return StoredObject(f'team/{name}', version, make_stored(document))


@define
class Move:
    """An address that moves from firm-a to firm-b.

    ``log`` holds the objects written to the store, in order; balancers
    receive them in any order.  ``received`` has the indexes that each balancer
    received, ``reported`` the version that its domain reported last.
    """

    log: list
    received: dict
    reported: dict

    def key(self):
        """Return a key that identifies this state."""
        received = tuple(tuple(sorted(one)) for one in self.received.values())
        return (len(self.log), received, tuple(self.reported.values()))


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
        StoredObject('template/firm', 1, make_stored(template)),
        team('firm-a', 2, True),
        team('firm-b', 3, False),
        StoredObject(f'claim/{ADDRESS}', 4, claim),
    ]
    log = [*before, team('firm-a', 5, False), team('firm-b', 6, True)]
    everything = frozenset(range(len(before)))
    return Move(
        log=log,
        received=dict.fromkeys(BALANCERS, everything),
        reported=dict.fromkeys(BALANCERS, 4),
    )


def store_of(system, indexes):
    store = ObjectStore()
    for index in sorted(indexes):
        store.apply(system.log[index])
    return store


def served_by(system, name):
    view = ViewBuilder().build(store_of(system, system.received[name]))
    return {service.team for service in view.services.values()}


def deliver_object(system, name, index):
    system.received[name] = system.received[name] | {index}


def report(system, name):
    """Report the highest version up to which no object is missing."""
    index = 0
    while index in system.received[name]:
        index += 1
    system.reported[name] = system.log[index - 1].version


def write_claims(system):
    """Write the claims as a lease holder that received all objects."""
    store = store_of(system, range(len(system.log)))
    view = ViewBuilder().build(store)
    key = f'claim/{ADDRESS}'
    claim: Claim = store.valid[key]
    known = {ADDRESS: (store.objects[key].version, claim)}
    statuses = [
        DomainStatus(name, name, 1, revision)
        for name, revision in system.reported.items()
    ]
    for step in claims.decide(view, known, statuses, set(BALANCERS)):
        if isinstance(step, claims.WriteClaim):
            value = {
                'team': step.claim.team,
                'service': step.claim.service,
                'generation': step.claim.generation,
                'state': step.claim.state,
            }
            version = system.log[-1].version + 1
            system.log.append(StoredObject(key, version, value))


def move_steps(system):
    found = [(write_claims,)]
    for name in BALANCERS:
        found.append((report, name))
        for index in range(len(system.log)):
            if index not in system.received[name]:
                found.append((deliver_object, name, index))
    return found


def check_move(system):
    served = set()
    for name in BALANCERS:
        served |= served_by(system, name)
    assert len(served) <= 1, (served, system.received)


@when('every interleaving of the move is explored')
def explore_move(context):
    context.states = explore(first_move(), move_steps, check_move)
