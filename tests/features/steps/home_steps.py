"""Steps for the home of flows, driven without sockets or clock."""

from collections import Counter
from ipaddress import ip_network

from attrs import evolve
from behave import given
from behave import then
from behave import when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from liftmount._internal.decisions import requests
from liftmount._internal.decisions.home import make_home_state
from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.models import actions as act
from liftmount._internal.models import events
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.records import Tick
from liftmount._internal.models.settings import LimitSettings
from liftmount._internal.models.verdict import Verdict

CALLER = Endpoint('10.0.0.9', 4000)
NONCE = 42
SERVICE = Service(
    team='firm-a',
    name='confirmations',
    mode='request',
    pool='guidance',
    address=Endpoint('10.1.0.1', 443),
    priority='urgent',
    repeatable=False,
    deadline_ms=5_000,
    max_queue=8,
    networks=(ip_network('10.0.0.0/8'),),
)


class Harness:
    """Drives one home and records its actions."""

    def __init__(self, targets, service=SERVICE):
        self.now_ms = 1_000_000
        self.service = service
        self.state = make_home_state(LimitSettings(), 'centro')
        pool = self.state.pool_state(service.pool_key).pool
        infos = [TargetInfo(name, 'centro') for name in targets]
        pool.update(infos, self.now_ms)
        self.pool = pool
        self.sent = Counter()
        self.ids = {}
        self.replies = {}
        self.refused = Counter()
        self.open()

    def open(self):
        asked = events.FlowAsked(
            service=self.service,
            caller=CALLER,
            flow_id=b'flow',
            name=b'',
            sequence=0,
            target='',
            target_incarnation=0,
            nonce=NONCE,
            now_ms=self.now_ms,
        )
        self.feed(asked)

    def feed(self, event):
        for action in requests.decide(self.state, event):
            match action:
                case act.SendRequest():
                    request = self.state.pending[action.request_id]
                    self.sent[request.number] += 1
                    self.ids[request.number] = action.request_id
                case act.Reply():
                    found = self.replies.setdefault(action.number, [])
                    found.append(action.outcome)
                case act.CountRefusal():
                    self.refused[action.reason.value] += 1

    def arrive(self, number, body=b'body'):
        self.feed(
            events.RequestArrived(NONCE, CALLER, number, 0, body, self.now_ms)
        )


@given('a home with pool "{pool}" of targets "{names}"')
def make_home(context, pool, names):
    assert pool == SERVICE.pool_key
    context.names = names.split(',')
    context.harness = Harness(context.names)


@given('the service is {kind}')
def set_service_kind(context, kind):
    service = evolve(SERVICE, repeatable=kind == 'repeatable')
    context.harness = Harness(context.names, service)


@given('all targets leave')
def mark_all_leaving(context):
    infos = [TargetInfo(n, 'centro', leaving=True) for n in context.names]
    context.harness.pool.update(infos, context.harness.now_ms)


@given('answers take longer than a deadline')
def record_slow_answer(context):
    for target in context.harness.pool.targets.values():
        target.capacity.completed(SERVICE.name, 1, 0, 9_000, 0)


@when('request {number:d} arrives')
def request_arrives(context, number):
    context.harness.arrive(number)


@when('requests {first:d} to {last:d} arrive')
def requests_arrive(context, first, last):
    for number in range(first, last + 1):
        context.harness.arrive(number)


@when('the target answers request {number:d} with "{body}"')
def target_answers(context, number, body):
    harness = context.harness
    harness.now_ms += 50
    request_id = harness.ids[number]
    answered = events.TargetAnswered(request_id, body.encode(), harness.now_ms)
    harness.feed(answered)


@when('{what} for request {number:d}')
def apply_event(context, what, number):
    harness = context.harness
    repeats = {
        'every target sheds it': 'the target sheds it',
        'every connection fails before writing': (
            'the connection fails before writing'
        ),
    }
    if what in repeats:
        while harness.ids[number] in harness.state.pending:
            apply_event(context, repeats[what], number)
        return
    request_id = harness.ids.get(number)
    harness.now_ms += 50
    now_ms = harness.now_ms
    match what:
        case 'the connection breaks after writing':
            event = events.RequestLost(request_id, True, now_ms)
        case 'the connection fails before writing':
            event = events.RequestLost(request_id, False, now_ms)
        case 'the target sheds it':
            event = events.TargetRefused(request_id, 100, False, now_ms)
        case 'the target reports a cancellation':
            event = events.TargetRefused(request_id, 0, True, now_ms)
        case 'the deadline passes':
            harness.now_ms += SERVICE.deadline_ms
            event = Tick(harness.now_ms)
    harness.feed(event)


@when('request {number:d} is cancelled')
def request_cancelled(context, number):
    harness = context.harness
    harness.feed(events.CancelArrived(NONCE, number, harness.now_ms))


@when('the flow is closed')
def flow_closed(context):
    harness = context.harness
    harness.feed(events.CloseArrived(NONCE, harness.now_ms))


@then('request {number:d} was sent {times:d} time')
@then('request {number:d} was sent {times:d} times')
def check_sent(context, number, times):
    assert context.harness.sent[number] == times, context.harness.sent


@then('request {number:d} got the verdict "{verdict}"')
def check_verdict(context, number, verdict):
    found = context.harness.replies.get(number, [])
    if verdict == 'none':
        assert not found, found
        return
    assert [one.verdict.value for one in found] == [verdict], found


@then('request {number:d} was answered "{body}" {times:d} times')
def check_replies(context, number, body, times):
    found = context.harness.replies[number]
    expected = [(Verdict.RAN, body.encode())] * times
    assert [(one.verdict, one.body) for one in found] == expected, found


@then('request {number:d} was refused as "{reason}"')
def check_refusal(context, number, reason):
    found = context.harness.replies[number]
    assert found[0].reason.value == reason, found


@then('some request was refused as "{reason}" with a retry delay')
def check_some_refused(context, reason):
    outcomes = [
        one for found in context.harness.replies.values() for one in found
    ]
    matching = [one for one in outcomes if one.reason.value == reason]
    assert matching
    for one in matching:
        assert one.verdict is Verdict.NOT_RUN
        assert one.retry_after_ms > 0


EVENT_NAMES = (
    'arrive',
    'answer',
    'shed',
    'lost',
    'unwritten',
    'cancel',
    'pass',
)


def run_random_step(harness, runs, step):
    """Apply one random step; ``runs`` counts runs by request number."""
    name, number = step
    harness.now_ms += 7
    now_ms = harness.now_ms
    request_id = harness.ids.get(number)
    in_flight = request_id in harness.state.pending
    if name == 'arrive':
        harness.arrive(number)
    elif name == 'cancel':
        harness.feed(events.CancelArrived(NONCE, number, now_ms))
    elif name == 'pass':
        harness.now_ms += 3_000
        harness.feed(Tick(harness.now_ms))
    elif in_flight and harness.state.pending[request_id].target:
        if name == 'answer':
            runs[number] += 1
            event = events.TargetAnswered(request_id, b'x', now_ms)
        elif name == 'lost':
            runs[number] += 1
            event = events.RequestLost(request_id, True, now_ms)
        elif name == 'unwritten':
            event = events.RequestLost(request_id, False, now_ms)
        else:
            event = events.TargetRefused(request_id, 0, False, now_ms)
        harness.feed(event)


@then('for any events a non-repeatable request runs at most once')
def at_most_once(_context):
    step = st.tuples(st.sampled_from(EVENT_NAMES), st.integers(1, 6))

    @for_any(st.lists(step, max_size=80))
    @settings(max_examples=400, derandomize=True, database=None, deadline=None)
    def check(steps):
        harness = Harness(['t1', 't2'])
        runs = Counter()
        for one in steps:
            run_random_step(harness, runs, one)
        for number, times in runs.items():
            assert times <= 1, (number, times)
        for number, outcomes in harness.replies.items():
            verdicts = {one.verdict for one in outcomes}
            if Verdict.NOT_RUN in verdicts:
                assert runs[number] == 0, number
                # A copy that arrives after the answer was dropped may get
                # MAY_HAVE_RUN, but never RAN.
                assert Verdict.RAN not in verdicts
            if Verdict.RAN in verdicts:
                assert runs[number] == 1

    check()
