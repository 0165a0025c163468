"""Steps on the overflow of a failure domain."""

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
    """Let a domain see the same loads for some time."""
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
    'a domain sees for {interval:d} ms: demand {demand:f}, near {near:d}, '
    'far {far:d} of which {alive:d} answer, isolated {isolated}'
)
def domain_observes(context, interval, demand, near, far, alive, isolated):
    load = overflow.DomainLoad(demand, near, far, alive)
    observe(context, (load,), interval, isolated == 'yes')


@when('a domain that is short is cut off for {cut:d} ms, then healed for '
      '{healed:d} ms')  # fmt: skip
def cut_then_healed(context, cut, healed):
    observe(context, (CONNECTED,), STEP_MS)
    # The first look that shows the cut begins it.
    observe(context, (CUT_OFF,), cut + STEP_MS)
    if healed:
        observe(context, (CONNECTED,), healed + STEP_MS)


@when('a domain sees two services, one cut off and short, one not')
def two_services(context):
    observe(context, (CUT_OFF, LOW_LOAD), 2_000)


@when('a domain that is short gets answers of other targets far away')
def remote_answers(context):
    observe(context, (CUT_OFF, LOW_LOAD), 2_000, has_remote_progress=True)


@then('its clients are handed over: {answer}')
def handed_over(context, answer):
    assert context.overflow.is_handed_over == (answer == 'yes'), (
        context.overflow
    )
