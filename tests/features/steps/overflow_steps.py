"""Steps for the overflow of a failure domain."""

from behave import then
from behave import when

from liftmount._internal.decisions import overflow

STEP_MS = 200
CUT_OFF = overflow.DomainLoad(9.0, 3, 15, 0)
CONNECTED = overflow.DomainLoad(9.0, 3, 15, 15)
LOW_LOAD = overflow.DomainLoad(0.1, 3, 6, 6)


def observe(
    context, loads, interval_ms, is_isolated=False, has_remote_progress=False
):
    """Observe the same loads for some time."""
    if 'overflow' not in context:
        context.overflow = overflow.OverflowState()
        context.now_ms = 10_000
    until_ms = context.now_ms + interval_ms
    while context.now_ms < until_ms:
        context.now_ms += STEP_MS
        remote_progress_ms = context.now_ms if has_remote_progress else 0
        event = overflow.DomainObserved(
            loads, is_isolated, remote_progress_ms, context.now_ms
        )
        overflow.decide(context.overflow, event)


@when(
    'a domain observes for {interval:d} ms: demand {demand:f}, '
    'local {local:d}, remote {remote:d} of which {live:d} respond, '
    'isolated {isolated}'
)
def domain_observes(context, interval, demand, local, remote, live, isolated):
    load = overflow.DomainLoad(demand, local, remote, live)
    observe(context, (load,), interval, isolated == 'yes')


@when('an overloaded domain is cut off for {cut:d} ms, then healed for '
      '{healed:d} ms')  # fmt: skip
def cut_then_healed(context, cut, healed):
    observe(context, (CONNECTED,), STEP_MS)
    # The partition begins at the first observation.
    observe(context, (CUT_OFF,), cut + STEP_MS)
    if healed:
        observe(context, (CONNECTED,), healed + STEP_MS)


@when('a domain observes two services, one of them cut off and overloaded')
def two_services(context):
    observe(context, (CUT_OFF, LOW_LOAD), 2_000)


@when('an overloaded domain gets answers of other remote targets')
def remote_answers(context):
    observe(context, (CUT_OFF, LOW_LOAD), 2_000, has_remote_progress=True)


@then('its clients are handed over: {answer}')
def handed_over(context, answer):
    assert context.overflow.is_handed_over == (answer == 'yes'), (
        context.overflow
    )
