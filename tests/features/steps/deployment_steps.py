"""Steps that start real processes and inject faults."""

from pathlib import Path
import signal
import time

from behave import given
from behave import then
from behave import when

from liftmount._internal.models.objects import FLOW_KEY_OBJECT
from stand_ins.calls import call
from stand_ins.calls import get_stored
from stand_ins.calls import put_stored
from stand_ins.calls import wait_for
from stand_ins.deployment import Deployment
from stand_ins.plans import ALL_PLANS

TEAM = 'firm-a'
# Answers to wait for; takes longer than suspicion and lease together.
FREEZE_ANSWERS = 120
SHORT_LEASE = {'duration_ms': 1_500}


def start_deployment(context, plan, linked, settings=None):
    """Start a deployment for the scenario."""
    directory = Path(context.directory)
    deployment = Deployment(
        ALL_PLANS[plan](), directory, seed=7, linked=linked
    )
    deployment.settings = {'lease': dict(SHORT_LEASE)} | (settings or {})
    context.deployment = deployment
    deployment.start()


@given('a linked "{plan}" deployment')
def linked_deployment(context, plan):
    start_deployment(context, plan, True)


@given('a "{plan}" deployment')
def plain_deployment(context, plan):
    start_deployment(context, plan, False)


@given('a linked "{plan}" deployment whose keys rotate every {age:d} ms')
def rotating_deployment(context, plan, age):
    lease = SHORT_LEASE | {'key_rotation_ms': age, 'key_overlap_ms': 60_000}
    start_deployment(context, plan, True, {'lease': lease})


@given('callers of every team')
def callers(context):
    for team in context.deployment.plan.teams:
        context.deployment.start_callers(team)


@when('the callers got {count:d} answers')
def got_answers(context, count):
    context.deployment.wait_answers(count)


@then('every promise holds')
def promises_hold(context):
    deployment = context.deployment
    deployment.stop_callers()
    report = deployment.check()
    assert report.requests > 0
    assert report.streams == count_expected_streams(deployment), report
    assert report.faults() == 0, report.document()
    context.report = report


def count_expected_streams(deployment):
    each = sum(one.streams for one in deployment.plan.services)
    return each * len(deployment.plan.teams)


def find_home(deployment, team=TEAM, service='confirmations'):
    """Return the balancer that owns the pool of a service."""
    address = deployment.service_address(team, service)
    running = deployment.running_balancers()
    return deployment.explain(running[0], address)['owner']


def kill_balancers(deployment, *names):
    """Kill balancers; the fabric learns of it some answers later."""
    for name in names:
        deployment.kill(name)
    deployment.wait_answers(30)
    deployment.publish_balancers()


@when('the home of firm-a is killed')
def kill_home(context):
    kill_balancers(context.deployment, find_home(context.deployment))


@when('two balancers are killed at once')
def two_killed(context):
    deployment = context.deployment
    home = find_home(deployment)
    other = find_home(deployment, 'firm-b')
    names = {home, other}
    if len(names) == 1:
        names.add(next(n for n in deployment.balancers if n != home))
    kill_balancers(deployment, *names)


def freeze(deployment, name, answers=FREEZE_ANSWERS):
    """Pause a process until callers got ``answers`` more answers."""
    deployment.signal(name, signal.SIGSTOP)
    deployment.wait_answers(answers)
    deployment.signal(name, signal.SIGCONT)


@when('the home of firm-a is frozen and resumed')
def home_frozen(context):
    freeze(context.deployment, find_home(context.deployment))


@when('the lease holder of domain a is frozen and resumed')
def holder_frozen(context):
    deployment = context.deployment
    before = get_lease(deployment, 'a')
    holder = before['holder']
    deployment.signal(holder, signal.SIGSTOP)
    wait_for(
        lambda: get_lease(deployment, 'a')['epoch'] > before['epoch'],
        'another lease holder',
    )
    deployment.signal(holder, signal.SIGCONT)
    deployment.wait_answers(60)


def get_lease(deployment, domain):
    return get_stored(deployment.platform, f'lease/{domain}').value


@when('a balancer joins while the platform is down')
def joins_without_platform(context):
    deployment = context.deployment
    name = list(deployment.balancers)[-1]
    deployment.kill(name)
    deployment.publish_balancers()
    deployment.platform_faults(down=True)
    deployment.start_balancer(name)
    running = deployment.running_balancers()
    wait_for(
        lambda: hold_same_configuration(deployment, running),
        'configuration from peers',
    )
    deployment.publish_balancers()
    deployment.wait_answers(60)
    deployment.platform_faults(down=False)


def hold_same_configuration(deployment, names):
    """Return whether balancers hold the same configuration."""
    digests = {
        deployment.inspect(name)['configuration']['digest'] for name in names
    }
    return len(digests) == 1


@when('every balancer is stopped as planned in turn')
def all_stopped(context):
    deployment = context.deployment
    for name in list(deployment.balancers):
        others = [n for n in deployment.running_balancers() if n != name]
        assert deployment.stop_planned(name) == 0, name
        deployment.publish_balancers(others)
        deployment.start_balancer(name)
        wait_for(
            lambda: hold_same_configuration(deployment, deployment.balancers),
            'configuration of the restarted balancer',
        )
        deployment.publish_balancers()


@when('a balancer is stopped as planned while a target drains')
def stop_while_draining(context):
    deployment = context.deployment
    deployment.set_target('guidance-1', TEAM, drain=1)
    home = find_home(deployment)
    assert deployment.stop_planned(home) == 0
    deployment.publish_balancers()


@when('a target is killed and restarted')
def target_killed(context):
    deployment = context.deployment
    deployment.kill('guidance-1')
    deployment.wait_answers(60)
    deployment.start_target('guidance-1')


@when('a target is frozen and resumed')
def freeze_target(context):
    freeze(context.deployment, 'guidance-1')


@when('a target drains itself and returns')
def target_drains(context):
    deployment = context.deployment
    deployment.set_target('guidance-1', TEAM, drain=1)
    deployment.wait_answers(150)
    deployment.set_target('guidance-1', TEAM, drain=0)


@when('an operator drains a target and restores it')
def operator_drains(context):
    deployment = context.deployment
    target = f'{TEAM}/guidance-1'
    deployment.drain_target(target)
    deployment.wait_answers(150)
    deployment.drains[-1][2] = time.time_ns() // 1_000_000
    deployment.tool('target', 'restore', target)


@when("callers' packets are lost, duplicated and reordered")
def disturb_caller_packets(context):
    context.deployment.fabric_faults(
        loss=0.05, duplication=0.1, reordering=0.2, held_ms=300
    )


@when('packets between balancers are lost and duplicated')
def disturb_peer_packets(context):
    faults = {'loss': 0.05, 'duplication': 0.1, 'held_ms': 50}
    call(context.deployment.links_control, '/set', {'faults': faults})


@when('packets are delayed for seconds')
def packets_delayed(context):
    context.deployment.fabric_faults(
        duplication=0.1, reordering=0.05, held_ms=3_000
    )


def set_cuts(deployment, cuts, blocked):
    deployment.cut(*cuts)
    deployment.platform_faults(
        blocked=[
            ip for domain, ip in deployment.balancers.values()
            if domain in blocked
        ]
    )  # fmt: skip


CUTS = {
    'domain b': ([('a', 'b')], ()),
    'the platform': ([], ('a',)),
    'everything': ([('a', 'b'), ('a', 'c')], ('a',)),
}


@when('domain a is cut off from {what} and reconnected')
def domain_cut(context, what):
    deployment = context.deployment
    cuts, blocked = CUTS[what]
    set_cuts(deployment, cuts, blocked)
    deployment.wait_answers(FREEZE_ANSWERS)
    set_cuts(deployment, [], ())


@when('the platform is down for a while')
def platform_down(context):
    deployment = context.deployment
    deployment.platform_faults(down=True)
    deployment.wait_answers(FREEZE_ANSWERS)
    deployment.platform_faults(down=False)


@when('the platform is slow')
def platform_slow(context):
    context.deployment.platform_faults(delay_ms=700)
    change_deadline(context.deployment, 4_000)


@when('the platform loses answers to writes')
def platform_loses_answers(context):
    context.deployment.platform_faults(lose_answers=3)
    change_deadline(context.deployment, 4_000)


def change_deadline(deployment, deadline_ms, team=TEAM):
    """Change a deadline of a team and wait until it is in force."""
    document = deployment.team_document(team)
    document['services'] = {'confirmations': {'deadline_ms': deadline_ms}}
    return deployment.apply('team', document, '--wait-ms', '30000')


@when('flow keys are rotated')
def keys_rotated(context):
    deployment = context.deployment
    found = get_stored(deployment.platform, FLOW_KEY_OBJECT)
    newest = found.value['keys'][-1]
    added = {**newest, 'id': newest['id'] + 1, 'secret_hex': 'ab' * 32}
    found.value['keys'].append(added)
    put_stored(deployment.platform, found)

    def is_used():
        stored = get_stored(deployment.platform, FLOW_KEY_OBJECT)
        return stored.value['current'] == added['id']

    wait_for(is_used, 'use of the new key')


@when('the home of firm-a is killed while the platform is down')
def killed_without_platform(context):
    deployment = context.deployment
    deployment.platform_faults(down=True)
    # The tool cannot reach the platform either, but reads no object.
    kill_balancers(deployment, find_home(deployment))
    deployment.wait_answers(60)
    deployment.platform_faults(down=False)


@when('a target is frozen while packets are lost and duplicated')
def frozen_with_loss(context):
    disturb_peer_packets(context)
    disturb_caller_packets(context)
    freeze_target(context)


@when('the home of firm-a is killed while packets are lost')
def killed_with_loss(context):
    disturb_caller_packets(context)
    disturb_peer_packets(context)
    kill_home(context)
