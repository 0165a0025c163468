"""Steps on pushes of a stream whose packets lag or get lost."""

import heapq
import random

from attrs import evolve
from behave import given
from behave import then
from behave import when

from liftmount._internal.decisions import streams
from liftmount._internal.decisions.home import make_home_state
from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.models import actions as act
from liftmount._internal.models import events
from liftmount._internal.models.settings import LimitSettings
from tests.features.steps.home_steps import CALLER
from tests.features.steps.home_steps import NONCE
from tests.features.steps.home_steps import SERVICE

KEEPALIVE_MS = 1_000
KEEPALIVE_PHASE_MS = 130
PERCENT = 100


class StreamRun:
    """A home, a target that sends again what it is asked for, a caller.

    ``got_ms`` maps the sequence numbers of events to the time at which the
    caller got each of them in order.
    """

    def __init__(self, interval_ms):
        self.home = make_home_state(LimitSettings(), 'centro')
        self.interval_ms = interval_ms
        self.now_ms = 0
        self.lag_ms = 0
        self.loss = 0.0
        self.sent = 0
        self.resends = 0
        self.got_ms = {}
        self._waiting = set()
        self._random = random.Random(7)
        self._arrivals = []
        self._open()

    def _open(self):
        service = evolve(SERVICE, mode='stream', repeatable=True)
        pool = self.home.pool_state(service.pool_key).pool
        pool.update([TargetInfo('one', 'centro')], 0)
        asked = events.FlowAsked(
            service=service,
            caller=CALLER,
            flow_id=b'flow',
            name=b'one',
            sequence=0,
            target='',
            target_incarnation=0,
            nonce=NONCE,
            now_ms=0,
        )
        streams.decide(self.home, asked)

    def run(self, until_ms):
        """Run until a time; the last events are left time to arrive."""
        last_event_ms = until_ms - 20 * KEEPALIVE_MS
        while self.now_ms < until_ms:
            self.now_ms += 10
            if (
                self.now_ms % self.interval_ms == 0
                and self.now_ms < last_event_ms
            ):
                self.sent += 1
                self._push(self.sent)
            if self.now_ms % KEEPALIVE_MS == KEEPALIVE_PHASE_MS:
                self._transmit('keepalive', len(self.got_ms))
            while self._arrivals and self._arrivals[0][0] <= self.now_ms:
                _at_ms, _order, kind, sequence = heapq.heappop(self._arrivals)
                self._receive(kind, sequence)

    def _push(self, sequence):
        event = events.PushArrived(NONCE, 'one', sequence, b'', self.now_ms)
        self._decide(event)

    def _transmit(self, kind, sequence):
        if self._random.random() >= self.loss:
            order = self._random.random()
            arrival = (self.now_ms + self.lag_ms, order, kind, sequence)
            heapq.heappush(self._arrivals, arrival)

    def _receive(self, kind, sequence):
        if kind == 'keepalive':
            self._decide(
                events.KeepaliveArrived(NONCE, CALLER, sequence, self.now_ms)
            )
            return
        self._waiting.add(sequence)
        while len(self.got_ms) + 1 in self._waiting:
            self.got_ms[len(self.got_ms) + 1] = self.now_ms

    def _decide(self, event):
        for action in streams.decide(self.home, event):
            match action:
                case act.SendPush():
                    self._transmit('push', action.sequence)
                case act.AttachStream():
                    self.resends += 1
                    for sequence in range(action.sequence + 1, self.sent + 1):
                        self._push(sequence)


@given('a stream with an event every {interval:d} ms')
def stream_with_events(context, interval):
    context.stream = StreamRun(interval)


@when('its packets take {lag:d} ms and none is lost, for {length:d} s')
def packets_lag(context, lag, length):
    context.stream.lag_ms = lag
    context.stream.run(length * 1_000)


@when('its packets take {lag:d} ms and {loss:d} % are lost, for {length:d} s')
def packets_get_lost(context, lag, loss, length):
    context.stream.loss = loss / PERCENT
    packets_lag(context, lag, length)


@then('fewer than {share:g} resends were asked for each event')
def few_resends(context, share):
    stream = context.stream
    assert stream.resends < share * stream.sent, (stream.resends, stream.sent)


@then('the caller got all events')
def got_all(context):
    assert len(context.stream.got_ms) == context.stream.sent


@then('the caller got all events, each within {late:d} ms')
def got_all_in_time(context, late):
    got_all(context)
    stream = context.stream
    delays_ms = [
        got_ms - sequence * stream.interval_ms
        for sequence, got_ms in stream.got_ms.items()
    ]
    assert max(delays_ms) <= late, max(delays_ms)
