"""Steps for a failure domain whose members all start at once."""

from behave import given
from behave import then
from behave import when

from benches.domain_start import Case
from benches.domain_start import DomainStart
from benches.domain_start import FEEDS
from liftmount._internal.models.records import evolve

RUN_MS = 15_000
FAULTS = {
    'is slow': 'slow',
    'rejects a third of calls': 'turns a third away',
    'stops halfway': 'stops halfway',
}


@given('{members:d} members on links of {mbps:g} Mbit/s, and {routes:d} '
       'routes')  # fmt: skip
def members_on_links(context, members, mbps, routes):
    context.case = Case(members=members, link_mbps=mbps, routes=routes)


@given('{targets:d} targets, for which segments wait')
def segments_wait(context, targets):
    context.case = evolve(context.case, targets=targets, segments_wait=True)


@when('all start at once')
def all_start(context):
    context.start = DomainStart(context.case)
    context.start.run(RUN_MS)


@when('all start at once, and the store {fault} for {interval:d} s')
def all_start_with_fault(context, fault, interval):
    context.case = evolve(
        context.case,
        trouble=FAULTS[fault],
        trouble_ms=1_000 * interval,
    )
    all_start(context)


@then('90 % hold routes and targets within {most:g} s')
def most_hold(context, most):
    found_s = context.start.completed_after_ms(0.9) / 1_000
    assert found_s <= most, found_s


@then('each of them lists each kind once')
def lists_once(context):
    assert context.start.lists == len(FEEDS) * context.case.members


@then('after 15 s one of them reads the store for all')
def one_reads(context):
    assert context.start.count_readers() == len(FEEDS), (
        context.start.count_readers()
    )


@then('no more than {most:d} calls for each kind are made in 15 s')
def few_calls(context, most):
    calls = context.start.calls
    assert max(calls.values()) <= most, calls
