"""Steps for the slow start of targets and for the regions of routes."""

from behave import given
from behave import step
from behave import then
from behave import when

from benches.cold import Case
from benches.cold import run
from liftmount._internal.decisions.slow_start import Fleet
from liftmount._internal.decisions.slow_start import SlowStartBudget
from liftmount._internal.models import flow_messages as flows
from liftmount._internal.models.records import evolve
from liftmount._internal.models.segments import WarmUp

SLOW_START_MS = 2_000


@given('{balancers:d} balancers, and {share} of the targets in slow start')
def balancers_and_share(context, balancers, share):
    context.case = Case(balancers=balancers, all_cold=share == 'all')


@given('a rate of {rate:d} requests a second for each of these, and '
       'balancer views: {views}')  # fmt: skip
def stated_rate(context, rate, views):
    context.case = evolve(context.case, per_s=float(rate), views=views)


@when('the balancers place flows for 6 s')
def place_flows(context):
    context.result = run(context.case)


@when('the balancers place flows for 6 s without a limit')
def place_without_limit(context):
    context.case = evolve(context.case, strategy='no limit')
    context.result = run(context.case)


@then('no target in slow start gets more than {rate:d} times 1.5 plus 5 '
      'requests in any second')  # fmt: skip
def within_rule(context, rate):
    assert context.case.allowed_per_s() == rate * 1.5 + 5
    assert context.result.max_flows_per_s <= context.case.allowed_per_s(), (
        context.result
    )


@then('some target in slow start exceeds its rate limit')
def exceeds_rule(context):
    assert context.result.max_flows_per_s > context.case.allowed_per_s(), (
        context.result
    )


@then('at least {used:f} of the stated rate is used')
def rate_used(context, used):
    found = context.result.used_share(context.case)
    assert found >= used, found


@given('{balancers:d} balancers whose targets entered slow start {idle:d} ms '
       'ago, without any flow since')  # fmt: skip
def idle_balancers(context, balancers, idle):
    warm_up = WarmUp(10.0, 2 * idle)
    context.budgets = []
    context.now_ms = 1_000 + idle
    for index in range(balancers):
        budget = SlowStartBudget(warm_up, Fleet(f'b{index}', balancers))
        budget.begin('one', 1_000)
        context.budgets.append(budget)


@when('each balancer sends as many flows as allowed in a second')
def sends_within_budget(context):
    context.sent = 0
    for now_ms in range(context.now_ms, context.now_ms + 1_000, 10):
        for budget in context.budgets:
            if budget.may_take('one', now_ms):
                budget.spend('one', now_ms)
                context.sent += 1


@then(
    'a target with a rate of 10 requests a second gets at most {most:d} flows'
)
def gets_at_most(context, most):
    assert 0 < context.sent <= most, context.sent


@given('targets in slow start for {lasts:d} ms take {rate:d} requests a '
       'second')  # fmt: skip
def slow_start_rate(context, lasts, rate):
    state = context.balancer.state
    warm_ups = {}
    if rate:
        warm_up = WarmUp(float(rate), lasts)
        warm_ups = {entry.service: warm_up for entry in entries(context)}
    table = evolve(
        state.table, version=state.table.version + 1, warm_ups=warm_ups
    )
    context.balancer.feed(flows.RoutesChanged(table, context.balancer.now_ms))


def entries(context):
    """Return all targets of a scenario."""
    return list(context.entries.values())


@given('a fleet of {count:d} balancers')
def fleet_size(context, count):
    context.balancer.state.fleet.name = 'one'
    context.balancer.state.fleet.balancers = count


@when('{first} and {second} enter slow start')
def both_enter_slow_start(context, first, second):
    for name in (first, second):
        enters_slow_start(context, name)


@when('{name} enters slow start')
def enters_slow_start(context, name):
    entry = evolve(context.entries[name], warm_up_ms=SLOW_START_MS)
    context.balancer.put(entry)


@then('{count:d} flows go to {target}, the others {others}')
def flows_go(context, count, target, others):
    balancer = context.balancer
    opened = [
        client for client in context.opened if is_placed(balancer, client)
    ]
    at = [balancer.flow(client).target for client in opened]
    refused = len(context.opened) - len(opened)
    assert at.count(target) == count, at
    rest = len(context.opened) - count
    match others.split():
        case ['are', 'none']:
            assert rest == 0
        case ['are', 'refused']:
            assert refused == rest, (refused, rest)
        case ['go', 'to', other]:
            assert at.count(other) == rest, at


def is_placed(balancer, client):
    """Tell whether the flow of a client was placed."""
    return balancer.segments[client].flow in balancer.state.flows


@given('the regions {pairs}')
def regions(context, pairs):
    known = dict(pair.split('=') for pair in pairs.split(', '))
    context.balancer.state.regions = known


@then('they go to {targets}')
def they_go_to(context, targets):
    balancer = context.balancer
    opened = [
        client for client in context.opened if is_placed(balancer, client)
    ]
    found = {balancer.flow(client).target for client in opened}
    if targets.startswith('nowhere'):
        assert not opened, found
        reasons = {
            one.reason.value for one in balancer.actions_of(flows.Refuse)
        }
        assert reasons == {targets.split()[-1]}, reasons
        return
    assert found == set(targets.split(', ')), found
    assert len(opened) == len(context.opened)


@step('no opening of client {client:d} went to {target}')
def none_went_to(context, client, target):
    sent = context.balancer.openings(client)
    assert sent and target not in sent, sent
