"""Steps for the routing of packets whose home is gone."""

from behave import given
from behave import then
from behave import when

from benches.setting import ADDRESS
from benches.setting import CALLER
from benches.setting import make_routing
from benches.setting import make_token
from liftmount._internal.decisions import routing
from liftmount._internal.models.actions import HandleOpen
from liftmount._internal.models.actions import RefusePacket
from liftmount._internal.models.packets import Cancel
from liftmount._internal.models.packets import Close
from liftmount._internal.models.packets import Keepalive
from liftmount._internal.models.packets import Request


@given('a balancer without a peer "{home}"')
def make_state(context, home):
    context.state = make_routing(members=1)
    assert home not in context.state.peers


@when('a {kind} with a token of "{home}" arrives')
def packet_arrives(context, kind, home):
    token = make_token(context.state, home)
    packet = {
        'request': Request(1, token),
        'close': Close(token, b'flow'),
        'cancel': Cancel(1, token),
        'keepalive': Keepalive(b'flow', token),
    }[kind]
    event = routing.PacketArrived(CALLER, ADDRESS, packet)
    context.action = routing.decide(context.state, event)


@then('the decision is to {decision}')
def check_decision(context, decision):
    match context.action:
        case HandleOpen():
            found = 'adopt'
        case RefusePacket(answer=True):
            found = 'refuse and answer'
        case RefusePacket():
            found = 'refuse silently'
    assert found == decision, context.action
