"""Steps for the caller library, against a scripted balancer."""

import asyncio

from behave import given
from behave import then
from behave import when

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.packets import Answer
from liftmount._internal.models.packets import Close
from liftmount._internal.models.packets import decode_packet
from liftmount._internal.models.packets import encode_packet
from liftmount._internal.models.packets import Keepalive
from liftmount._internal.models.packets import Open
from liftmount._internal.models.packets import Opened
from liftmount._internal.models.packets import Refused
from liftmount._internal.models.packets import Request
from liftmount._internal.network.udp import UdpSocket
from liftmount.client import Client

GRANT_IDS = {'first': 1, 'second': 2}
MIN_COPIES = 3


class ScriptedBalancer:
    """A UDP socket that answers a caller as the scenario specifies."""

    def __init__(self):
        self.grants = ()
        self.regrant = None
        self.home_gone_answers = 0
        self.received = []
        self.socket = None
        self.outcome = None
        self.refuses_second = False

    async def run(self, deadline_ms, repeatable=False):
        local = Endpoint('127.0.0.1', 0)
        self.socket = await UdpSocket.bind(local, self.on_datagram)
        async with Client(local) as client:
            self.outcome = await client.request(
                self.socket.address, b'body', deadline_ms, repeatable
            )
        # The caller's last packets are still in flight.
        await asyncio.sleep(0)
        while self.regrant and not self.packets_of(Close):
            await asyncio.sleep(0.01)
        self.socket.close()

    def on_datagram(self, data, source):
        packet = decode_packet(data)
        self.received.append(packet)
        match packet:
            case Open() | Keepalive():
                for name in self.grants:
                    self.grant(packet.flow_id, name, source)
            case Request():
                self.on_request(packet, source)

    def grant(self, flow_id, name, source):
        opened = Opened(flow_id, name.encode(), GRANT_IDS[name])
        self.socket.send(encode_packet(opened), source)

    def on_request(self, packet, source):
        first = self.packets_of(Request)[0]
        if self.refuses_second and packet.flow_id != first.flow_id:
            answer = Answer(packet.flow_id, packet.number, verdict='not_run')
            self.socket.send(encode_packet(answer), source)
            return
        if self.regrant:
            self.grant(packet.flow_id, self.regrant, source)
        for _ in range(self.home_gone_answers):
            refused = Refused(packet.flow_id, packet.number, 'home_gone')
            self.socket.send(encode_packet(refused), source)
        if (
            not self.home_gone_answers
            and len(self.packets_of(Request)) >= MIN_COPIES
        ):
            answer = Answer(packet.flow_id, packet.number, body=b'done')
            self.socket.send(encode_packet(answer), source)

    def packets_of(self, kind):
        return [one for one in self.received if isinstance(one, kind)]


@given('a caller that opens a flow')
def caller_opens(context):
    context.balancer = ScriptedBalancer()


@when('the flow is granted as "first"')
def granted_once(context):
    context.balancer.grants = ('first',)


@when('the flow is granted as "first" and then as "second"')
def granted_twice(context):
    context.balancer.grants = ('first', 'second')


@when('the caller sends a non-repeatable request')
def sends_request(context):
    context.deadline_ms = 20_000


@when('"second" is granted again before the answer')
def granted_again(context):
    context.balancer.regrant = 'second'
    asyncio.run(context.balancer.run(context.deadline_ms))


@when('{count:d} balancers answer that the home is gone')
def home_gone(context, count):
    context.balancer.home_gone_answers = count
    asyncio.run(context.balancer.run(context.deadline_ms))


@when('its first attempt finds the home gone and its second is not run')
def second_not_run(context):
    context.balancer.home_gone_answers = 3
    context.balancer.refuses_second = True
    asyncio.run(context.balancer.run(20_000, repeatable=True))


@when('no balancer answers until the deadline')
def no_answers(context):
    asyncio.run(context.balancer.run(300))


@then('every copy of the request carries the token "{token}"')
def one_token(context, token):
    copies = context.balancer.packets_of(Request)
    assert len(copies) >= MIN_COPIES
    assert {one.token for one in copies} == {token.encode()}, copies


@then('the token "{token}" is closed')
def token_closed(context, token):
    closed = {one.token for one in context.balancer.packets_of(Close)}
    assert token.encode() in closed, closed


@then('the outcome is "{verdict}"')
def outcome_is(context, verdict):
    assert context.balancer.outcome.verdict.value == verdict


@then('no copy is sent under another token')
def no_other_token(context):
    assert {one.token for one in context.balancer.packets_of(Request)} == {
        b'first'
    }
