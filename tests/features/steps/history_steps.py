"""Steps for the history checker."""

from behave import given
from behave import then
from behave import when

from stand_ins import history


def make_request(work_id, **changes):
    record = {
        'event': 'request',
        'wall_ms': 1_000,
        'id': work_id,
        'repeatable': False,
        'verdict': 'ran',
        'reason': '',
        'whole': True,
    }
    return record | changes


def make_run(work_id, wall_ms=900, target='firm-a/t1', work_ms=10):
    return {
        'event': 'run',
        'wall_ms': wall_ms,
        'id': work_id,
        'target': target,
        'work_ms': work_ms,
    }


@given('a valid history')
def valid_history(context):
    context.callers = [
        {'event': 'asked', 'wall_ms': 1, 'id': 'r1', 'repeatable': False},
        {'event': 'asked', 'wall_ms': 1, 'id': 'r2', 'repeatable': True},
        make_request('r1'),
        make_request('r2', repeatable=True),
        {
            'event': 'stream',
            'wall_ms': 2_000,
            'id': 's1',
            'problem': '',
            'events': 3,
            'rebinds': 0,
            'late_ms': 10,
        },
    ]
    context.targets = [make_run('r1'), make_run('r2')]
    context.drains = []


@when('a non-repeatable request runs twice')
def non_repeatable_runs_twice(context):
    context.targets.append(make_run('r1', target='firm-a/t2'))


@when('a repeatable request runs twice')
def repeatable_runs_twice(context):
    context.targets.append(make_run('r2', target='firm-a/t2'))


@when('a request reported as not run has run')
def not_run_but_ran(context):
    context.callers[2]['verdict'] = 'not_run'


@when('a request reported as may_have_run has run')
def may_have_run(context):
    context.callers[2]['verdict'] = 'may_have_run'


@when('a request reported as run has not run')
def ran_but_no_run(context):
    del context.targets[0]


@when('an answer is incomplete')
def incomplete(context):
    context.callers[2]['whole'] = False


@when('a request gets no final answer')
def unanswered(context):
    del context.callers[2]


@when('a stream goes silent')
def silent(context):
    context.callers[-1]['problem'] = 'silent'


@when("a target gets another team's work")
def work_of_other_team(context):
    record = {'event': 'wrong_service', 'wall_ms': 5, 'id': 'r1'}
    context.targets.append(record | {'target': 'firm-a/t1'})


@when('a drained target gets work after {seconds:d} s')
def work_after_drain(context, seconds):
    context.drains.append(('firm-a/t1', 10_000, None))
    late = make_run('r2', wall_ms=10_000 + seconds * 1_000)
    context.targets[1] = late


@when('a target that drains itself gets work after {seconds:d} s')
def work_after_own_drain(context, seconds):
    context.targets.append(
        {
            'event': 'draining',
            'wall_ms': 10_000,
            'target': 'firm-a/t1',
            'is_draining': True,
        }
    )
    late = make_run('r2', wall_ms=10_000 + seconds * 1_000)
    context.targets[1] = late


def check_history(context):
    return history.check(context.callers, context.targets, context.drains)


@then('the checker finds {count:d} faults')
def finds_count(context, count):
    report = check_history(context)
    assert report.faults() == count, report.document()


@then('the checker finds "{fault}"')
def finds_fault(context, fault):
    report = check_history(context)
    assert getattr(report, fault) == 1, report.document()
    assert report.faults() == 1, report.document()


@then(
    'work of {one:d} and {other:d} on capacities of 3 and 1 has imbalance '
    '{expected:f}'
)
def check_imbalance(_context, one, other, expected):
    plans = [
        {'team': 'x', 'pool': 'p', 'name': 'a', 'slots': 3, 'speed': 1.0},
        {'team': 'x', 'pool': 'p', 'name': 'b', 'slots': 1, 'speed': 1.0},
    ]
    records = [
        make_run('r1', target='x/a', work_ms=one),
        make_run('r2', target='x/b', work_ms=other),
    ]
    report = history.Report()
    history.measure_imbalance(report, records, plans, set(), 0)
    assert report.imbalance == expected, report
