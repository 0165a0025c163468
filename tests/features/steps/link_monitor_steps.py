"""Steps for the load of the local link and the evidence under load."""

from behave import given
from behave import then
from behave import when

from liftmount._internal.decisions import target_health
from liftmount._internal.decisions.link_monitor import LinkMonitor
from liftmount._internal.models import flow_messages as flows
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.records import Tick
from liftmount._internal.models.segments import Route
from liftmount._internal.models.segments import RouteKind
from liftmount._internal.models.segments import ServiceShare
from tests.features.steps.forwarding_steps import Balancer
from tests.features.steps.forwarding_steps import make_balancer
from tests.features.steps.forwarding_steps import make_entry
from tests.features.steps.forwarding_steps import make_table
from tests.features.steps.forwarding_steps import send_data
from tests.features.steps.forwarding_steps import START_MS
from tests.features.steps.forwarding_steps import TICK_MS

ADDRESS = '198.51.0.1:8443'
UPLOAD_BYTES = 1_232
# One packet every 5 ms fills a link of 2 Mbit/s.
UPLOAD_GAP_MS = 5
PROBE_TIMEOUT_MS = 100
RESEND_AFTER_MS = 400
TARGET = 'one'


@given('a local link of {rate:d} Mbit/s')
def local_link(context, rate):
    context.link = LinkMonitor(rate)
    context.now_ms = START_MS


@when('packets of {size:d} bytes arrive every {gap:d} ms for {lasts:d} ms, '
      'and {later:d} ms pass')  # fmt: skip
def packets_received(context, size, gap, lasts, later):
    for _ in range(lasts // gap):
        context.now_ms += gap
        context.link.received(size, context.now_ms)
    context.now_ms += later


@when('packets of {size:d} bytes arrive and leave every {gap:d} ms for '
      '{lasts:d} ms')  # fmt: skip
def packets_both_ways(context, size, gap, lasts):
    for _ in range(lasts // gap):
        context.now_ms += gap
        context.link.received(size, context.now_ms)
        context.link.sent(size, context.now_ms)


@then('the link is {state}')
def link_is(context, state):
    assert context.link.is_busy(context.now_ms) == (state == 'busy')


@given('a target that was found dead before the link became busy')
def found_dead(context):
    health = context.health = target_health.TargetHealth()
    silent = target_health.ProbeResult.SILENT
    target_health.decide(
        health, target_health.TargetUnresponsive(TARGET, START_MS)
    )
    for _ in range(target_health.PROBES_TO_DEAD):
        ended = target_health.ProbeEnded(TARGET, silent, START_MS, START_MS)
        target_health.decide(health, ended)
    assert health.is_proven_dead(TARGET, START_MS)
    target_health.decide(health, target_health.LinkStateChanged(True))


@when('the target does not answer a probe {later:d} ms later')
def probe_unanswered(context, later):
    context.now_ms = START_MS + later
    target_health.decide(context.health, Tick(context.now_ms))
    unproven = target_health.ProbeResult.UNPROVEN
    ended = target_health.ProbeEnded(
        TARGET, unproven, context.now_ms, context.now_ms
    )
    target_health.decide(context.health, ended)


@then('there is no proof that it is dead')
def not_proven(context):
    assert context.health.is_dead(TARGET)
    assert not context.health.is_proven_dead(TARGET, context.now_ms)


class LinkedBalancer(Balancer):
    """A balancer with its link and the results of its probes."""

    def __init__(self, rate, state):
        super().__init__(state)
        self.link = LinkMonitor(rate)
        self.probes = []
        self.result = target_health.ProbeResult.SILENT

    def decide_health(self, event):
        """Decide on the health of targets and execute the actions."""
        self._execute(target_health.decide(self.state.health, event))

    def _execute(self, actions):
        for action in actions:
            match action:
                case target_health.SendProbe():
                    self.probes.append(action)
                case target_health.ConditionChanged():
                    change = flows.TargetHealthChanged(
                        action.target,
                        action.is_dead,
                        self.now_ms,
                        action.is_suspected,
                    )
                    self.feed(change)

    def feed(self, event):
        """Decide on an event and pass on its evidence on targets."""
        actions = super().feed(event)
        for action in actions:
            match action:
                case target_health.TargetUnresponsive():
                    self.decide_health(action)
                case target_health.TargetResponsive():
                    self.decide_health(action)
        return actions

    def run(self, duration_ms, is_uploading):
        """Advance the time, with or without uploads that fill the link."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            for _ in range(TICK_MS // UPLOAD_GAP_MS):
                self.now_ms += UPLOAD_GAP_MS
                if is_uploading:
                    self.link.received(UPLOAD_BYTES, self.now_ms)
            is_busy = self.link.is_busy(self.now_ms)
            self.decide_health(target_health.LinkStateChanged(is_busy))
            self.feed(Tick(self.now_ms))
            self.decide_health(Tick(self.now_ms))
            self._end_probes()

    def _end_probes(self):
        for sent in list(self.probes):
            if self.now_ms - sent.sent_ms < PROBE_TIMEOUT_MS:
                continue
            self.probes.remove(sent)
            result = self.result
            is_silent = result is target_health.ProbeResult.SILENT
            if is_silent and self.link.is_busy(sent.sent_ms):
                result = target_health.ProbeResult.UNPROVEN
            ended = target_health.ProbeEnded(
                sent.target, result, sent.sent_ms, self.now_ms
            )
            self.decide_health(ended)


@given('a balancer on a link of {rate:d} Mbit/s with open flows to two '
       'targets')  # fmt: skip
def linked_balancer(context, rate):
    balancer = LinkedBalancer(rate, make_balancer('a').state)
    context.balancer = balancer
    for name, number in ((TARGET, 11), ('two', 12)):
        balancer.put(make_entry(name, 'guide', number=number))
    table = make_table(3, [make_route()])
    balancer.feed(flows.RoutesChanged(table, START_MS))
    for client in (1, 2):
        balancer.send(client, ADDRESS, opens=True)
        send_data(balancer, client, ADDRESS)
    context.client = next(
        one for one in (1, 2) if balancer.flow(one).target == TARGET
    )


def make_route():
    """Return a route to the service of the targets."""
    return Route(
        name='guide',
        address=parse_endpoint(ADDRESS),
        kind=RouteKind.REPEATABLE,
        shares=(ServiceShare('guide', 1),),
        priority=0,
        objective_ms=0,
    )


@when('uploads fill the link for {lasts:d} ms, data is sent again, and probes '
      'are {result}')  # fmt: skip
def uploads_fill(context, lasts, result):
    balancer = context.balancer
    balancer.result = target_health.ProbeResult(result)
    balancer.run(RESEND_AFTER_MS, True)
    again = balancer.segments[context.client]
    balancer.feed(flows.SegmentArrived(again, balancer.now_ms))
    balancer.run(lasts - RESEND_AFTER_MS, True)


@when('the link is free and probes are {result} for {lasts:d} ms')
def link_free(context, result, lasts):
    context.balancer.run(lasts, False)


@then('{count:d} flows were reset, and new flows go to {chosen}')
def flows_reset(context, count, chosen):
    balancer = context.balancer
    found = balancer.actions_of(flows.Refuse)
    assert len(found) == count, found
    first = 100 + len(balancer.segments)
    for client in range(first, first + 4):
        balancer.send(client, ADDRESS, opens=True)
        send_data(balancer, client, ADDRESS)
    targets = {balancer.flow(one).target for one in range(first, first + 4)}
    assert targets == ({'two'} if chosen == 'another' else {TARGET, 'two'})
