"""Steps on urgent datagrams that overtake others in a socket."""

import asyncio
import socket

from behave import given
from behave import then
from behave import when

from liftmount._internal.clock import ManualClock
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.envelopes import encode_membership
from liftmount._internal.models.envelopes import encode_peer
from liftmount._internal.models.envelopes import is_membership
from liftmount._internal.models.envelopes import PeerEnvelope
from liftmount._internal.network.priority_udp import PriorityUdpSocket

PING = encode_membership([1, 1, 'lm-1', 1, b'', [], ''])
TURNS = 200


class SocketRun:
    """A socket whose buffer holds packets and then a ping."""

    def __init__(self, packets):
        self.packets = [
            encode_peer(
                PeerEnvelope('lm-1', 1, '10.0.0.1', n, '10.0.0.2', 1, b'')
            )
            for n in range(packets)
        ]
        self.handled = []
        self.expired = 0
        self.packet_takes_ms = 0
        self.is_closed_early = False
        self.clock = ManualClock(1_000)

    def _on_datagram(self, data, _source):
        self.handled.append(data)
        if data != PING:
            self.clock.advance(self.packet_takes_ms)

    def _on_expired(self, count):
        self.expired += count

    async def run(self):
        """Fill the buffer, then let the event loop read it."""
        bound = PriorityUdpSocket.bind(
            Endpoint('127.0.0.1', 0),
            self.clock,
            self._on_datagram,
            is_membership,
            self._on_expired,
        )
        pair = bound.address.socket_address()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for datagram in (*self.packets, PING):
                sender.sendto(datagram, pair)
        if self.is_closed_early:
            bound.close()
            bound.send(PING, pair)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        bound.close()


@given('a socket with {count:d} packets and then a ping in its buffer')
def filled_socket(context, count):
    context.socket_run = SocketRun(count)


@when('the event loop runs until all are handled')
def loop_runs(context):
    asyncio.run(context.socket_run.run())


@when('each packet takes {interval:d} ms')
def packets_take(context, interval):
    context.socket_run.packet_takes_ms = interval
    loop_runs(context)


@when('the socket is closed before the event loop runs')
def closed_early(context):
    context.socket_run.is_closed_early = True
    loop_runs(context)


@then('the ping is handled before {count:d} of the packets')
def ping_overtakes(context, count):
    assert context.socket_run.handled.index(PING) < count


@then('all packets are handled in their order')
def packets_in_order(context):
    run = context.socket_run
    assert [one for one in run.handled if one != PING] == run.packets
    assert not run.expired


@then('the ping is handled, and the packets that waited for over {limit:d} ms '
      'are counted as dropped')  # fmt: skip
def expired_counted(context, limit):
    run = context.socket_run
    packets = [one for one in run.handled if one != PING]
    assert PING in run.handled
    assert run.expired > 0
    assert len(packets) + run.expired == len(run.packets)
    # The age is looked at once for each group of packets.
    assert len(packets) * run.packet_takes_ms <= 2 * limit, len(packets)


@then('nothing is handled, and a send does nothing')
def nothing_handled(context):
    assert not context.socket_run.handled
