"""Steps for configuration, isolation and planned stops."""

import asyncio
import json
import random
import time

from behave import then
from behave import when
import cbor2
from deployment_steps import find_home
from deployment_steps import hold_same_configuration
from deployment_steps import set_cuts
from deployment_steps import TEAM

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.envelopes import encode_fabric
from liftmount._internal.models.envelopes import FabricEnvelope
from liftmount._internal.models.packets import encode_packet
from liftmount._internal.models.packets import Open
from liftmount._internal.models.packets import Request
from liftmount._internal.network.udp import UdpSocket
from liftmount.client import Client
from stand_ins import workload
from stand_ins.calls import call
from stand_ins.calls import get_stored
from stand_ins.calls import put_stored
from stand_ins.calls import wait_for
from stand_ins.workload import Work

STATUS_CONFLICT = 3
STATUS_NOT_IN_FORCE = 5
LINKS_OF_DOMAIN_A = [('a', 'b'), ('a', 'c')]
BATCH_DATAGRAMS = 500


@when('the fault "{fault}" begins')
def fault_begins(context, fault):
    deployment = context.deployment
    match fault:
        case 'the platform answers late':
            deployment.platform_faults(delay_ms=700)
        case 'the platform loses two answers':
            deployment.platform_faults(lose_answers=2)
        case 'the platform forgets each change':
            deployment.platform_faults(forgets=True)
        case 'domain a cannot reach the platform':
            set_cuts(deployment, [], ('a',))
        case 'a balancer restarts':
            deployment.kill('lm-2')
            deployment.start_balancer('lm-2')
        case _:
            raise AssertionError(fault)


@when('firm-a changes the deadline of its confirmations to {value:d} ms')
def change_deadline(context, value):
    deployment = context.deployment
    document = deployment.team_document(TEAM)
    document['services'] = {'confirmations': {'deadline_ms': value}}
    # Wait as little as possible here; later steps wait for the change.
    context.applied = deployment.apply(
        'team', document, '--wait-ms', '1', check=False
    )


def sample_versions(context):
    """Return each balancer's versions; fail if one has decreased."""
    deployment = context.deployment
    seen = context.__dict__.setdefault('seen_versions', {})
    found = {}
    for name in deployment.running_balancers():
        versions = deployment.inspect(name)['configuration']['versions']
        found[name] = versions
        for key, version in versions.items():
            before = seen.get((name, key), 0)
            assert version >= before, (name, key, before, version)
            seen[name, key] = version
    return found


@then('every balancer holds the stored configuration')
def check_all_hold(context):
    deployment = context.deployment
    key = f'team/{TEAM}'
    stored = get_stored(deployment.platform, key).version
    names = deployment.running_balancers()

    def holds():
        found = sample_versions(context)
        is_newest = all(found[name].get(key) == stored for name in names)
        return is_newest and hold_same_configuration(deployment, names)

    wait_for(holds, f'version {stored} on all balancers', 60)


@then('no balancer ever held an older version after a newer one')
def never_reverts(context):
    for _round in range(3):
        sample_versions(context)


@when('domain a is cut off from everything')
def cut_off(context):
    set_cuts(context.deployment, LINKS_OF_DOMAIN_A, ('a',))


@when('domain a is reconnected')
def reconnect(context):
    set_cuts(context.deployment, [], ())


@then('the change is not in force, and the tool names domain "{domain}"')
def not_in_force(context, domain):
    assert context.applied.returncode == STATUS_NOT_IN_FORCE, context.applied
    assert f'domain {domain}' in context.applied.stderr, context.applied
    deployment = context.deployment

    def is_behind():
        done = deployment.tool('--output', 'json', 'status', check=False)
        rows = json.loads(done.stdout)
        states = {row['failure_domain']: row['state'] for row in rows}
        others = [states[one] for one in states if one != domain]
        return states[domain] == 'behind' and set(others) == {'in force'}

    wait_for(is_behind, 'the status of the domain that is cut off')


@when('two operators change firm-a from the same version')
def two_operators(context):
    deployment = context.deployment
    base = get_stored(deployment.platform, f'team/{TEAM}').version
    context.results = []
    for deadline_ms in (1_111, 2_222):
        document = deployment.team_document(TEAM)
        document['base_version'] = base
        document['services'] = {'confirmations': {'deadline_ms': deadline_ms}}
        done = deployment.apply('team', document, check=False)
        context.results.append(done)


@then('one change is stored and the other operator sees the difference')
def one_stored(context):
    first, second = context.results
    assert first.returncode == 0, first
    assert second.returncode == STATUS_CONFLICT, second
    assert '-deadline_ms = 1111' in second.stdout, second.stdout
    assert '+deadline_ms = 2222' in second.stdout, second.stdout
    shown = context.deployment.tool('team', 'get', TEAM).stdout
    assert 'deadline_ms = 1111' in shown, shown


@when('an invalid document of firm-a is written to the store')
def write_invalid(context):
    deployment = context.deployment
    found = get_stored(deployment.platform, f'team/{TEAM}')
    found.value['document']['targets'] = 'none'
    put_stored(deployment.platform, found)


@then('the status shows the error in "{key}"')
def status_shows_error(context, key):
    def shows_error():
        done = context.deployment.tool('status', check=False)
        return f'{key}: {key}: targets' in done.stdout

    wait_for(shows_error, f'an error in {key} in the status')


@when('an operator drains the home of firm-a')
def drain_home(context):
    context.drained = find_home(context.deployment)
    context.deployment.tool('instance', 'drain', context.drained)


@then('the drained instance holds no flows')
def no_flows(context):
    def is_empty():
        found = context.deployment.inspect(context.drained)['data']
        return found['leaving'] and found['flows'] == 0

    wait_for(is_empty, 'the drained instance to be empty')


def move_address(deployment):
    """Move firm-a's tiles address to firm-b with the tool."""
    address = deployment.service_address(TEAM, 'tiles')
    releasing_team = deployment.team_document(TEAM)
    del releasing_team['addresses']['tiles']
    deployment.apply('team', releasing_team)
    requesting_team = deployment.team_document('firm-b')
    requesting_team['addresses']['tiles'] = address
    deployment.apply('team', requesting_team)
    return address


def get_claim(deployment, address):
    return get_stored(deployment.platform, f'claim/{address}').value


@when("the address of firm-a's tiles moves to firm-b")
def address_moves(context):
    address = move_address(context.deployment)
    wait_for(
        lambda: get_claim(context.deployment, address)['team'] == 'firm-b',
        'the grant to firm-b',
    )


@when('firm-a releases its tiles address and firm-b requests it')
def release_address(context):
    context.address = move_address(context.deployment)


@then('the address is not granted while domain a is cut off')
def stays_ungranted(context):
    deployment = context.deployment

    def is_released_elsewhere():
        found = get_claim(deployment, context.address)
        return found['state'] == 'releasing' and all(
            row['state'] == 'in force'
            for row in json.loads(
                deployment.tool(
                    '--output', 'json', 'status', check=False
                ).stdout
            )
            if row['failure_domain'] != 'a'
        )

    wait_for(is_released_elsewhere, 'the release outside of domain a')
    version = get_stored(deployment.platform, f'claim/{context.address}')
    # Further rounds of the lease holders must not change it.
    calls = sum(call(deployment.platform, '/calls').values())
    wait_for(
        lambda: sum(call(deployment.platform, '/calls').values()) > calls + 40,
        'more rounds of the lease holders',
    )
    later = get_stored(deployment.platform, f'claim/{context.address}')
    assert later == version, (version, later)
    assert later.value['state'] == 'releasing', later


@then('the address is granted to firm-b')
def granted(context):
    def is_granted():
        found = get_claim(context.deployment, context.address)
        return (found['team'], found['state']) == ('firm-b', 'held')

    wait_for(is_granted, 'the grant to firm-b', 60)


@then('no target ran work of another team')
def no_foreign_work(context):
    deployment = context.deployment
    deployment.stop_callers()
    report = deployment.check()
    assert report.wrong_service == 0, report.examples
    assert report.requests_doubled == 0, report.examples
    assert report.not_run_but_ran == 0, report.examples
    assert report.answers_incomplete == 0, report.examples


@when("another team's target reuses the address of firm-a/guidance-1")
def address_reused(context):
    deployment = context.deployment
    deployment.kill('guidance-1')
    for plan in deployment.target_plans:
        if plan['process'] == 'guidance-1' and plan['team'] == TEAM:
            plan['team'] = 'firm-z'
    # The new process records its work as another target.
    deployment.start_target('guidance-1')
    for plan in deployment.target_plans:
        if plan['team'] == 'firm-z':
            plan['team'] = TEAM


@then('some balancer refused "{reason}"')
def some_refused(context, reason):
    deployment = context.deployment
    names = deployment.running_balancers()
    total = sum(
        deployment.inspect(name)['data']['counters'].get(
            f'refused.{reason}', 0
        )
        for name in names
    )
    assert total > 0, reason


@when("a caller of firm-b sends a request to firm-a's confirmations")
def send_foreign_request(context):
    deployment = context.deployment
    address = deployment.service_address(TEAM, 'confirmations')
    work = Work('stranger', TEAM, 'confirmations', 1.0, 10)

    async def send_request():
        local = Endpoint(deployment.caller_ip('firm-b'), 0)
        async with Client(local) as client:
            body = workload.encode_work(work)
            return await client.request(address, body, 1_500)

    context.foreign_outcome = asyncio.run(send_request())


@then('the outcome for the caller of firm-b is "{verdict}"')
def check_foreign_outcome(context, verdict):
    assert context.foreign_outcome.verdict.value == verdict, (
        context.foreign_outcome
    )


@then('no target ran a request')
def nothing_ran(context):
    _callers, targets = context.deployment.records()
    assert not [one for one in targets if one['event'] == 'run'], targets


def generate_datagrams(address, count):
    """Yield datagrams that a broken or hostile sender might send."""
    rng = random.Random(5)
    good = encode_packet(Request(number=1, token=b'x' * 60, body=b'y' * 50))
    opening = encode_packet(Open(b'12345678'))

    def wrap(inner):
        envelope = FabricEnvelope(
            '127.0.0.1', 9, address.ip, address.port, inner
        )
        return encode_fabric(envelope)

    makers = (
        lambda: rng.randbytes(rng.randint(0, 200)),
        lambda: wrap(rng.randbytes(rng.randint(0, 200))),
        lambda: wrap(good[: rng.randint(0, len(good))]),
        lambda: wrap(good),
        lambda: wrap(cbor2.dumps({0: 1, 1: 3, 3: 'text', 5: -1})),
        lambda: wrap(cbor2.dumps([[[[]]]] * 20)),
        lambda: cbor2.dumps([1, 2, 3, 4, 5]),
        lambda: cbor2.dumps(['not an ip', 1, 'nor this', 2, opening]),
        lambda: b'\x9b' + b'\xff' * 8,
        lambda: wrap(b'\x00' * 60_000),
    )
    for number in range(count):
        # Only few are large, or they fill the socket buffer.
        index = number % (len(makers) - 1)
        yield makers[-1]() if number % 1_000 == 0 else makers[index]()


@when('{count:d} invalid packets of every kind are sent to a balancer')
def send_invalid(context, count):
    deployment = context.deployment
    ip = deployment.balancers['lm-1'][1]
    destination = (ip, deployment._port(1))
    address = parse_endpoint(deployment.service_address(TEAM, 'confirmations'))

    async def send():
        socket = await UdpSocket.bind(Endpoint(ip, 0), lambda *_: None)
        for number, data in enumerate(generate_datagrams(address, count)):
            socket.send(data, destination)
            if number % BATCH_DATAGRAMS == 0:
                # Without a pause the kernel drops datagrams.
                await asyncio.sleep(0.02)
        socket.close()

    asyncio.run(send())


@when('the home of firm-a is stopped as planned')
def home_stopped(context):
    deployment = context.deployment
    assert deployment.stop_planned(find_home(deployment)) == 0
    deployment.publish_balancers()


@then('no request has the verdict may_have_run')
def check_none_may_have_run(context):
    count = context.report.verdicts.get('may_have_run', 0)
    assert count == 0, context.report.document()


@when('target "{name}" of firm-a is reported as leaving by {source}')
def target_leaves(context, name, source):
    deployment = context.deployment
    context.leaving = f'{TEAM}/{name}'
    now_ms = time.time_ns() // 1_000_000
    match source:
        case 'the target itself':
            deployment.set_target(name, TEAM, drain=1)
        case 'an operator':
            deployment.drain_target(context.leaving)
        case 'the instance list':
            entry = {
                'failure_domain': 'a',
                'role': 'target',
                'state': 'leaving',
            }
            path = f'/instances/{context.leaving}'
            call(deployment.platform, path, entry, 'PUT')
            deployment.drains.append([context.leaving, now_ms, None])


@then('its streams have moved')
def streams_moved(context):
    assert context.report.stream_rebinds > 0, context.report.document()
