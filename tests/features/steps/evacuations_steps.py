"""Steps on evacuations: their updates, and where openings go."""

from behave import given
from behave import step
from behave import then
from behave import when

from liftmount._internal.decisions import evacuations
from liftmount._internal.decisions.evacuations import EvacuationState
from liftmount._internal.decisions.flow_table import domain_loads
from liftmount._internal.decisions.flow_table import is_probe_wanted
from liftmount._internal.models import flow_messages as flows
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Evacuated
from liftmount._internal.models.feeds import Listing
from tests.features.steps.forwarding_steps import report_health

GUIDE = '198.51.0.1:8443'
AVOIDED_MS = 5_000
# Shorter than the wait for a first answer.
SERVED_MS = 60


def read_update(text):
    """Return the update of words such as ``written a b at 12``."""
    words, _at, revision = text.rpartition(' at ')
    kind, *domains = words.split()
    domains = () if domains == ['nothing'] else tuple(domains)
    revision = int(revision)
    match kind:
        case 'listed':
            return Listing(domains, revision)
        case 'relayed':
            return Evacuated(frozenset(domains), revision)
        case 'written':
            return Delta(domains, (), revision)
        case 'removed':
            return Delta((), domains, revision)
    raise ValueError(text)


@when('it receives evacuations: {updates}')
def receives_evacuations(context, updates):
    context.evacuations = EvacuationState()
    context.changes = []
    for part in updates.split(', '):
        found = evacuations.decide(context.evacuations, read_update(part))
        context.changes += found


@then('it considers evacuated: {domains}')
def considers_evacuated(context, domains):
    wanted = frozenset() if domains == 'nothing' else frozenset(domains)
    assert context.evacuations.known.domains == wanted, context.evacuations
    # Applying each change leads to the same domains.
    assert context.changes[-1].domains == wanted, context.changes


@step('the domains {domains} are evacuated')
def domains_evacuated(context, domains):
    names = () if domains == 'none' else domains.split(', ')
    event = flows.DomainsEvacuated(frozenset(names), context.balancer.now_ms)
    context.balancer.feed(event)


@when('the domains {domains} are no longer evacuated')
def domains_returned(context, domains):
    left = context.balancer.state.evacuated - set(domains.split(', '))
    event = flows.DomainsEvacuated(left, context.balancer.now_ms)
    context.balancer.feed(event)


def domains_of(context, clients):
    """Return the failure domain of each client's flow."""
    balancer = context.balancer
    targets = [balancer.flow(client).target for client in clients]
    return [context.entries[name].failure_domain for name in targets]


@then('the flows are at {targets} and nowhere else')
def flows_are_at(context, targets):
    balancer = context.balancer
    found = {balancer.flow(client).target for client in context.opened}
    assert found == set(targets.split(', ')), found


@then('the copies of its opening went to domains b and c')
def copies_elsewhere(context):
    first, *copies = context.balancer.openings(1)
    found = {context.entries[name].failure_domain for name in copies}
    assert context.entries[first].failure_domain == 'a', first
    assert copies and found <= {'b', 'c'}, copies


@when('in domains {domains} all targets of {service} are avoided')
def targets_avoided(context, service, domains):
    pool = context.balancer.state.pool(service)
    for entry in context.entries.values():
        if entry.failure_domain in domains.split(', '):
            until_ms = context.balancer.now_ms + AVOIDED_MS
            pool.avoid(entry.name, until_ms)


@when('in domains {domains} all targets of {service} die')
def targets_judged_dead(context, service, domains):
    for entry in context.entries.values():
        is_meant = entry.failure_domain in domains.split(', ')
        if is_meant and entry.service == service:
            report_health(context.balancer, entry.name)


@when('the entry of {name} is written again')
def entry_written(context, name):
    context.balancer.put(context.entries[name])


@when('the entries of {first} and {second} are missing')
def entries_missing(context, first, second):
    balancer = context.balancer
    for name in (first, second):
        put = flows.TargetPut(context.entries[name], balancer.now_ms, True)
        balancer.feed(put)


@then('none of the flows is in domain a')
def none_in_domain(context):
    found = domains_of(context, context.opened)
    assert len(found) == len(context.opened) and 'a' not in found, found


@given('the same balancer before it knows the evacuations')
def before_evacuations(context):
    context.balancer.state.evacuated = None


@then('it is pending')
def is_pending(context):
    assert not context.balancer.last, context.balancer.last
    assert len(context.balancer.state.pending) == 1


@then('the opening of client {client:d} was sent to {target} alone')
def opening_sent_to(context, client, target):
    assert context.balancer.openings(client) == [target]


@step('clients {first:d} to {last:d} were served one after the other at '
      '{address}')  # fmt: skip
@step('clients {first:d} to {last:d} are served one after the other at '
      '{address}')  # fmt: skip
def served_in_turn(context, first, last, address):
    balancer = context.balancer
    context.served = []
    for client in range(first, last + 1):
        balancer.send(client, address, opens=True)
        context.served += domains_of(context, [client])
        tag = balancer.flow(client).tag
        balancer.pass_time(SERVED_MS)
        balancer.send(client, address, tag=tag, closes=True)


@then('at least {least:d} and at most {most:d} of these flows were in domain '
      'b')  # fmt: skip
def part_in_domain(context, least, most):
    found = context.served.count('b')
    assert least <= found <= most, found


@then('the load of guide counts {local:d} local and {remote:d} remote slots')
def slots_counted(context, local, remote):
    balancer = context.balancer
    pools = list(balancer.state.pools)
    loads = domain_loads(balancer.state, 1, balancer.now_ms)
    load = loads[pools.index('guide')]
    found = (load.local_slots, load.remote_slots, load.remote_alive_slots)
    assert found == (local, remote, remote), found


@then('a probe of {target} is wanted: {answer}')
def probe_wanted(context, target, answer):
    balancer = context.balancer
    own = balancer.flow(1).target
    names = {
        'the target of client 1': own,
        'the other local target': 'near-1' if own == 'near-2' else 'near-2',
    }
    found = is_probe_wanted(balancer.state, names.get(target, target))
    assert found == (answer == 'yes'), target
