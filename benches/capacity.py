"""Measure how costs grow with the size, for docs/CAPACITY.md.

Prints points and linear fits for configuration, membership, ownership,
flows and homes.  ``--only`` runs one part.
"""

import argparse
import gc
import json
import subprocess
import sys

import cbor2

from benches.setting import make_home
from benches.setting import make_service
from benches.setting import open_flow
from benches.timing import fit_line
from benches.timing import resident_bytes
from benches.timing import time_calls
from liftmount._internal.clock import Clock
from liftmount._internal.decisions import membership
from liftmount._internal.decisions import requests
from liftmount._internal.decisions import streams
from liftmount._internal.decisions.ownership import Ownership
from liftmount._internal.decisions.rollout import ObjectStore
from liftmount._internal.decisions.rollout import ViewBuilder
from liftmount._internal.models import actions as act
from liftmount._internal.models import events
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.members import Member
from liftmount._internal.models.records import Tick

ENDPOINTS = (100, 1_000, 5_000, 27_000)
ENDPOINTS_PER_TEAM = 36
SERVICES_PER_TEAM = 3
MEMBERS = (8, 32, 128, 390)
FLOWS = (10_000, 50_000, 200_000)
POOLS = 2_300
STEP_MS = 25
TIMES = membership.MembershipTimes()
CLOCK = Clock()
PARTS = ('configuration', 'membership', 'ownership', 'flows', 'home')


def make_template_object():
    """Return the template that all teams use."""
    services = [
        {'name': f's{n}', 'mode': 'request', 'pool': 'pool'}
        for n in range(SERVICES_PER_TEAM)
    ]
    document = {'name': 'firm', 'services': services}
    return StoredObject('template/firm', 1, wrap_document(document))


def wrap_document(document):
    """Return a document in the form in which the tool stores it."""
    return {
        'document': document,
        'writer': 'bench',
        'nonce': '0',
        'written_wall_ms': 0,
    }


def make_team_object(number, version):
    """Return one team with its services and endpoints."""
    high, low = divmod(number, 200)
    document = {
        'name': f'team-{number}',
        'template': 'firm',
        'addresses': {
            f's{n}': f'10.{high}.{low}.{n + 1}:443'
            for n in range(SERVICES_PER_TEAM)
        },
        'caller_prefixes': ['10.0.0.0/8'],
        'targets': [
            {
                'name': f'target-{n}',
                'pool': 'pool',
                'address': f'11.{high}.{low}.{n + 1}:9000',
                'failure_domain': 'a',
            }
            for n in range(ENDPOINTS_PER_TEAM)
        ],
    }
    return StoredObject(
        f'team/team-{number}', version, wrap_document(document)
    )


def make_claim_objects(number):
    """Return the claims of a team's addresses."""
    high, low = divmod(number, 200)
    return [
        StoredObject(
            f'claim/10.{high}.{low}.{n + 1}:443',
            1,
            {
                'team': f'team-{number}',
                'service': f's{n}',
                'generation': 1,
                'state': 'held',
            },
        )
        for n in range(SERVICES_PER_TEAM)
    ]


def measure_configuration_at(endpoints):
    """Return the costs of a start and of a change at one size."""
    teams = max(1, endpoints // ENDPOINTS_PER_TEAM)
    objects = [make_template_object()]
    for number in range(teams):
        objects.append(make_team_object(number, 2))
        objects += make_claim_objects(number)
    size = len(cbor2.dumps([[o.key, o.version, o.value] for o in objects]))
    gc.collect()
    before = resident_bytes()
    store = ObjectStore()
    builder = ViewBuilder()
    start_ms = CLOCK.precise_ms()
    for item in objects:
        store.apply(item)
    view = builder.build(store)
    start_took_ms = CLOCK.precise_ms() - start_ms
    used_bytes = resident_bytes() - before
    assert len(view.services) == teams * SERVICES_PER_TEAM

    def change(index):
        store.apply(make_team_object(index % teams, 3 + index))
        builder.build(store)

    timing = time_calls(change, 3, rounds=3)
    team_bytes = len(cbor2.dumps(objects[1].value))
    return {
        'endpoints': teams * ENDPOINTS_PER_TEAM,
        'addresses': teams * SERVICES_PER_TEAM,
        'start_ms': round(start_took_ms, 1),
        'change_ms': round(timing.median_us / 1000, 2),
        'memory_mib': round(used_bytes / 1_048_576, 1),
        'cbor_bytes': size,
        'team_bytes': team_bytes,
    }


def measure_configuration():
    """Measure configuration; print points and fits."""
    points = []
    for endpoints in ENDPOINTS:
        # A new process, because reuse of freed memory would hide the growth.
        code = (
            'import json; from benches import capacity; '
            'print(json.dumps('
            f'capacity.measure_configuration_at({endpoints})))'
        )
        completed = subprocess.run(
            [sys.executable, '-c', code],
            capture_output=True,
            text=True,
            check=True,
        )
        points.append(json.loads(completed.stdout))
        print(points[-1])
    for name in ('start_ms', 'change_ms', 'memory_mib'):
        report_fit(name, [(p['endpoints'], p[name]) for p in points], 1_000)
    return points


def report_fit(name, points, per):
    """Print a linear fit, with its slope for ``per`` units of the size."""
    slope, intercept = fit_line(points)
    print(f'  {name}: {intercept:.3f} + {slope * per:.4f} per {per}')


def make_member(number):
    """Return the record of one member."""
    ip = f'10.0.{number // 200}.{number % 200 + 1}'
    return Member(
        name=f'lm-{number}',
        failure_domain='a',
        peer=Endpoint(ip, 1),
        control=Endpoint(ip, 2),
        incarnation=1,
    )


def measure_membership_at(size, seconds=20, replace_every_ms=None):
    """Return bytes and CPU time per member in a group of a size.

    Members exchange messages without a network, and begin with complete
    member lists.  One member restarts every ``replace_every_ms``.
    """
    members = [make_member(n) for n in range(size)]
    by_peer = {}
    states = []
    for member in members:
        state = membership.make_membership(member, TIMES, (), 0)
        others = [other for other in members if other is not member]
        membership.learn_all(state, others, 0)
        states.append(state)
        by_peer[member.peer] = state
    now_ms = 0
    cpu_ms = 0.0
    replaced = 0
    while now_ms < seconds * 1_000:
        now_ms += STEP_MS
        if replace_every_ms and now_ms % replace_every_ms < STEP_MS:
            index = replaced % size
            replaced += 1
            announce_restart(states[index])
        start_ms = CLOCK.precise_ms()
        for state in states:
            actions = membership.decide(state, Tick(now_ms))
            deliver(state, actions, by_peer, now_ms)
        cpu_ms += CLOCK.precise_ms() - start_ms
    sent = sum(state.sent_bytes for state in states)
    return {
        'members': size,
        'bytes_per_second': round(sent / size / seconds, 1),
        'cpu_share': round(cpu_ms / 1000 / size / seconds, 6),
        'replaced': replaced,
    }


def announce_restart(state):
    """Announce a member as after a restart."""
    membership.announce(state, leaving=False)


def deliver(sender, actions, by_peer, now_ms):
    """Deliver datagrams to their receivers immediately."""
    for action in actions:
        if not isinstance(action, membership.SendDatagram):
            continue
        receiver = by_peer[action.destination]
        _tag, message = cbor2.loads(action.datagram)
        event = membership.MessageArrived(message, sender.own.peer, now_ms)
        further = membership.decide(receiver, event)
        deliver(receiver, further, by_peer, now_ms)


def measure_membership():
    """Measure membership without changes and with restarts."""
    points = []
    for size in MEMBERS:
        quiet = measure_membership_at(size, 10)
        busy = measure_membership_at(size, 10, 1_000)
        points.append((quiet, busy))
        print('quiet', quiet)
        print('one change a second', busy)
    return points


def measure_ownership():
    """Measure a join and a leave, each followed by a lookup of all pools."""
    wanted = frozenset({'a'})
    points = []
    for size in (*MEMBERS, 2_700):
        ownership = Ownership()
        for number in range(size):
            ownership.add(f'lm-{number}', 'a')
        for pool in range(POOLS):
            ownership.owner(f'team-{pool}/pool', wanted)

        def change(index, ownership=ownership):
            name = f'new-{index}'
            ownership.add(name, 'a')
            ownership.remove(name)
            for pool in range(POOLS):
                ownership.owner(f'team-{pool}/pool', wanted)

        timing = time_calls(change, 2, rounds=3)
        points.append((size, timing.median_us / 1000))
        print(f'{size} members, {POOLS} pools: {points[-1][1]:.1f} ms')
    return points


def measure_flows():
    """Measure the memory of flows."""
    points = []
    for count in FLOWS:
        code = (
            'from benches.decisions import hold_flows; '
            f'print(hold_flows({count}))'
        )
        completed = subprocess.run(
            [sys.executable, '-c', code],
            capture_output=True,
            text=True,
            check=True,
        )
        points.append((count, int(completed.stdout)))
        print(f'{count} flows: {points[-1][1] / 1_048_576:.1f} MiB')
    report_fit('bytes', points, 1)
    return points


def measure_home():
    """Measure a home's time for a request, a push and a keepalive."""
    service = make_service('request')
    home = make_home(service=service)
    event = open_request_flow(home, service)
    results = {}

    def request(index):
        arrived = events.RequestArrived(
            event, Endpoint('10.0.0.1', 1), index + 1, 0, b'x', index
        )
        for action in requests.decide(home, arrived):
            if isinstance(action, act.SendRequest):
                answered = events.TargetAnswered(
                    action.request_id, b'y', index
                )
                requests.decide(home, answered)
        if index % 500 == 0:
            requests.decide(home, Tick(index))

    results['request'] = time_calls(request, 3_000).median_us
    service = make_service('stream')
    home = make_home(service=service)
    target = open_flow(home, service, 0)[0].target

    def push(index):
        pushed = events.PushArrived(1, target, index, b'x' * 32, index)
        streams.decide(home, pushed)

    def keepalive(index):
        caller = home.flows.get(1).caller
        alive = events.KeepaliveArrived(1, caller, index, index)
        streams.decide(home, alive)

    results['push'] = time_calls(push, 3_000).median_us
    results['keepalive'] = time_calls(keepalive, 3_000).median_us
    print(results)
    return results


def open_request_flow(home, service):
    """Open a flow for requests; return its nonce."""
    requested = events.FlowAsked(
        service=service,
        caller=Endpoint('10.0.0.1', 1),
        flow_id=b'1',
        name=b'',
        sequence=0,
        target='',
        target_incarnation=0,
        nonce=1,
        now_ms=0,
    )
    requests.decide(home, requested)
    return 1


def main(arguments) -> int:
    """Run all parts, or the one chosen, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', choices=PARTS)
    options = parser.parse_args(arguments)
    measures = {
        'configuration': measure_configuration,
        'membership': measure_membership,
        'ownership': measure_ownership,
        'flows': measure_flows,
        'home': measure_home,
    }
    results = {}
    for name in [options.only] if options.only else PARTS:
        print(f'{name}:')
        results[name] = measures[name]()
    print(json.dumps(results))
    return 0
