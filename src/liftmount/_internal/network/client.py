"""The caller's side: requests with verdicts, and streams that go on.

Packets are sent again until answered, always under the same token and
number, so the flow's home sees through copies.  A request that may not be
repeated is sent under exactly one token and number.
"""

import asyncio
import logging
import secrets

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.clock import Clock
from liftmount._internal.clock import seconds
from liftmount._internal.decisions.reassembly import Reassembly
from liftmount._internal.decisions.retry import RetryBudget
from liftmount._internal.exceptions import LiftmountError
from liftmount._internal.exceptions import PacketError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.packets import Answer
from liftmount._internal.models.packets import Cancel
from liftmount._internal.models.packets import Close
from liftmount._internal.models.packets import decode_packet
from liftmount._internal.models.packets import encode_packet
from liftmount._internal.models.packets import Keepalive
from liftmount._internal.models.packets import MAX_BODY_BYTES
from liftmount._internal.models.packets import Open
from liftmount._internal.models.packets import Opened
from liftmount._internal.models.packets import Push
from liftmount._internal.models.packets import Rebind
from liftmount._internal.models.packets import Refused
from liftmount._internal.models.packets import Request
from liftmount._internal.models.packets import split_body
from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.verdict import Outcome
from liftmount._internal.models.verdict import Verdict
from liftmount._internal.network.udp import UdpSocket

LOG = logging.getLogger('liftmount.client')
FLOW_ID_BYTES = 8
RESEND_FIRST_MS = 150
RESEND_LONGEST_MS = 1_000
# Without word from the home for this long, ask before sending a request
# that may not be repeated: a home that is gone would leave it in doubt.
FRESH_MS = 300
# Several balancers must say that the home is gone, since one that is cut
# off from the home says so too.
HOME_GONE_LIMIT = 3
KEEPALIVE_MS = 500
REPAIR_MS = 80
OVERLAP_MS = 1_500
EVENTS_BUFFERED = 4_096
FINAL_REFUSALS = frozenset(
    {
        Reason.UNKNOWN_ADDRESS.value,
        Reason.CALLER_NOT_ALLOWED.value,
        Reason.TOKEN_OTHER_SERVICE.value,
    }
)


class StreamEnded(LiftmountError):
    """A stream cannot go on; ``reason`` tells why."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


@frozen
class StreamEvent:
    """One event of a stream, in order and without gaps."""

    sequence: int
    body: bytes


@define(eq=False)
class _Flow:
    """One flow as its caller sees it."""

    address: Endpoint
    flow_id: bytes
    inbox: asyncio.Queue = Factory(asyncio.Queue)
    is_stream: bool = False
    token: bytes = b''
    grant: int = 0
    next_number: int = 1
    waiting: dict = Factory(dict)
    refusals: dict = Factory(dict)
    heard_ms: int = 0
    is_retired: bool = False
    opened: asyncio.Event = Factory(asyncio.Event)
    refusal: Refused | None = None


class Client:
    """Requests and streams of one caller, over one UDP socket.

    Use it as an asynchronous context manager.  ``local`` is the address
    to bind; its port may be 0.
    """

    def __init__(self, local: Endpoint | None = None, clock=None):
        self._clock = clock or Clock()
        self._local = local or Endpoint('0.0.0.0', 0)
        self._socket = None
        self._flows = {}
        self._request_flows = {}
        self._opening = {}
        self._reassembly = Reassembly()
        self._tasks = set()
        self.budget = RetryBudget()

    async def __aenter__(self):
        self._socket = await UdpSocket.bind(self._local, self._on_datagram)
        return self

    async def __aexit__(self, *_error):
        for flow in list(self._flows.values()):
            self._close(flow)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._socket.close()

    # Requests.

    async def request(
        self,
        address: Endpoint | str,
        body: bytes,
        deadline_ms: int,
        repeatable: bool = False,
    ) -> Outcome:
        """Run a request and return its outcome, by the deadline at most.

        Cancelling the task that waits here cancels the request.  Raises
        ValueError for a body above ``MAX_BODY_BYTES``.
        """
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(f'body is above {MAX_BODY_BYTES} bytes')
        address = _endpoint(address)
        give_up_ms = self._clock.now_ms() + deadline_ms
        self.budget.earn()
        in_doubt = False
        while True:
            flow = await self._ready_flow(address, give_up_ms, repeatable)
            if isinstance(flow, Outcome):
                return _all_copies(flow, in_doubt)
            outcome = await self._run(flow, body, give_up_ms)
            if not self._may_repeat(outcome, repeatable, give_up_ms):
                return _all_copies(outcome, in_doubt)
            in_doubt = True

    def _may_repeat(self, outcome, repeatable, give_up_ms):
        if outcome.verdict is not Verdict.MAY_HAVE_RUN or not repeatable:
            return False
        if self._clock.now_ms() >= give_up_ms:
            return False
        return self.budget.spend()

    async def _ready_flow(self, address, give_up_ms, repeatable):
        """Return an open flow whose home is there, or an Outcome."""
        while True:
            flow = self._request_flows.get(address)
            if flow is None or flow.is_retired:
                flow = await self._open_shared(address, give_up_ms)
                if isinstance(flow, Outcome):
                    return flow
            silent_ms = self._clock.now_ms() - flow.heard_ms
            if repeatable or silent_ms < FRESH_MS:
                return flow
            if await self._is_there(flow, give_up_ms):
                return flow
            if self._clock.now_ms() >= give_up_ms:
                return Outcome(Verdict.NOT_RUN, reason=Reason.DEADLINE_PASSED)
            self._retire(flow)

    async def _open_shared(self, address, give_up_ms):
        """Open one flow for all requests that wait for one."""
        task = self._opening.get(address)
        if task is None:
            task = asyncio.create_task(self._open(address, give_up_ms))
            self._opening[address] = task
            self._keep(task)
            task.add_done_callback(lambda _: self._opening.pop(address))
        flow = await asyncio.shield(task)
        if isinstance(flow, _Flow):
            self._request_flows[address] = flow
        return flow

    def _keep(self, task):
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(
        self, address, give_up_ms, name=b'', sequence=0, token=b''
    ):
        """Open a flow; return it, or an Outcome that nothing was run."""
        flow_id = secrets.token_bytes(FLOW_ID_BYTES)
        flow = _Flow(address, flow_id, is_stream=bool(name))
        self._flows[flow_id] = flow
        packet = Open(flow_id, token, name, sequence)
        wait_ms = RESEND_FIRST_MS
        while self._clock.now_ms() < give_up_ms:
            flow.refusal = None
            flow.opened.clear()
            self._send(flow, packet)
            await _wait(flow.opened, wait_ms)
            if flow.token:
                return flow
            if flow.refusal is None:
                wait_ms = min(RESEND_LONGEST_MS, wait_ms * 3 // 2)
                continue
            if flow.refusal.reason in FINAL_REFUSALS:
                break
            await asyncio.sleep(seconds(max(50, flow.refusal.retry_after_ms)))
        self._flows.pop(flow_id, None)
        return _no_flow(flow)

    async def _is_there(self, flow, give_up_ms):
        """Ask the home for a sign of life before committing to it."""
        heard_ms = flow.heard_ms
        packet = Keepalive(flow.flow_id, flow.token)
        for _attempt in range(HOME_GONE_LIMIT + 1):
            if self._clock.now_ms() >= give_up_ms:
                return False
            flow.opened.clear()
            self._send(flow, packet)
            await _wait(flow.opened, RESEND_FIRST_MS)
            if flow.heard_ms > heard_ms:
                return True
            if flow.refusal is not None or flow.is_retired:
                flow.refusal = None
                return False
        return False

    async def _run(self, flow, body, give_up_ms):
        number = flow.next_number
        flow.next_number += 1
        answer = asyncio.get_running_loop().create_future()
        flow.waiting[number] = answer
        try:
            return await self._send_until_answered(
                flow, number, body, answer, give_up_ms
            )
        except asyncio.CancelledError:
            self._send(flow, Cancel(number, flow.token, flow.flow_id))
            raise
        finally:
            del flow.waiting[number]
            flow.refusals.pop(number, None)
            if flow.is_retired and not flow.waiting:
                self._close(flow)

    async def _send_until_answered(
        self, flow, number, body, answer, give_up_ms
    ):
        pieces = split_body(body)
        wait_ms = RESEND_FIRST_MS + 2 * len(pieces)
        while True:
            left_ms = give_up_ms - self._clock.now_ms()
            if left_ms <= 0:
                self._send(flow, Cancel(number, flow.token, flow.flow_id))
                return Outcome(
                    Verdict.MAY_HAVE_RUN, reason=Reason.DEADLINE_PASSED
                )
            for index, piece in enumerate(pieces):
                packet = Request(
                    number=number,
                    token=flow.token,
                    flow_id=flow.flow_id,
                    piece=index,
                    pieces=len(pieces),
                    deadline_ms=left_ms,
                    body=piece,
                )
                self._send(flow, packet)
            done, _pending = await asyncio.wait(
                {answer}, timeout=seconds(min(wait_ms, left_ms))
            )
            if done:
                return answer.result()
            wait_ms = min(RESEND_LONGEST_MS, wait_ms * 3 // 2)

    def _retire(self, flow):
        """Use a flow for no further request."""
        flow.is_retired = True
        if self._request_flows.get(flow.address) is flow:
            del self._request_flows[flow.address]
        if not flow.waiting:
            self._close(flow)

    def _close(self, flow):
        if self._flows.pop(flow.flow_id, None) is not None and flow.token:
            self._send(flow, Close(flow.token, flow.flow_id))

    # Streams.

    async def open_stream(
        self,
        address: Endpoint | str,
        name: bytes,
        sequence: int = 0,
        deadline_ms: int = 10_000,
    ):
        """Open the stream ``name`` from after ``sequence``.

        Raises StreamEnded when no flow could be opened in time.
        """
        stream = Stream(self, _endpoint(address), name, sequence)
        await stream.open(deadline_ms)
        self._keep(asyncio.create_task(stream.keep_alive()))
        return stream

    # Packets.

    def _send(self, flow, packet):
        data = encode_packet(packet)
        self._socket.send(data, flow.address.socket_address())

    def _on_datagram(self, data, source):
        try:
            packet = decode_packet(data)
        except PacketError:
            return
        flow = self._flows.get(getattr(packet, 'flow_id', b''))
        if flow is None or flow.address.socket_address() != source[:2]:
            return
        match packet:
            case Opened():
                self._on_opened(flow, packet)
            case Answer():
                flow.heard_ms = self._clock.now_ms()
                self._on_answer(flow, packet)
            case Refused():
                self._on_refused(flow, packet)
            case Rebind():
                if flow.token and flow.address in self._request_flows:
                    self._retire(flow)
                flow.opened.set()
                flow.inbox.put_nowait(packet)
            case Push():
                flow.heard_ms = self._clock.now_ms()
                flow.inbox.put_nowait(packet)

    def _on_opened(self, flow, packet):
        """Keep one grant; close any other that the flow was given.

        Requests stay under their token, whatever else is granted.  A
        stream follows the balancer that took it over.
        """
        if flow.token and packet.grant != flow.grant:
            unwanted = packet.token
            if flow.is_stream:
                unwanted = flow.token
                flow.token = packet.token
                flow.grant = packet.grant
            self._send(flow, Close(unwanted, flow.flow_id))
        elif flow.is_stream or not flow.token:
            flow.token = packet.token
            flow.grant = packet.grant
        flow.heard_ms = self._clock.now_ms()
        flow.opened.set()

    def _on_answer(self, flow, packet):
        waiting = flow.waiting.get(packet.number)
        if waiting is None or waiting.done():
            return
        body = self._reassembly.add(
            (flow.flow_id, packet.number),
            packet.piece,
            packet.pieces,
            packet.body,
            self._clock.now_ms(),
        )
        self._reassembly.expire(self._clock.now_ms())
        if body is not None:
            waiting.set_result(_outcome(packet, body))

    def _on_refused(self, flow, packet):
        flow.refusal = packet
        flow.opened.set()
        waiting = flow.waiting.get(packet.number)
        if waiting is None:
            flow.inbox.put_nowait(packet)
            return
        refusals = flow.refusals.get(packet.number, 0) + 1
        flow.refusals[packet.number] = refusals
        is_split = packet.reason == Reason.HOME_GONE.value
        if waiting.done() or (is_split and refusals < HOME_GONE_LIMIT):
            return
        reason = _reason(packet.reason)
        waiting.set_result(Outcome(Verdict.MAY_HAVE_RUN, reason=reason))
        self._retire(flow)


class Stream:
    """Events of one stream, in order, across changes of home and target.

    Iterate over it asynchronously; ``close`` ends it.
    """

    def __init__(self, client: Client, address, name, sequence):
        self._client = client
        self._address = address
        self._name = name
        self._flow = None
        self._old = {}
        self._early = {}
        self._events = asyncio.Queue(EVENTS_BUFFERED)
        self._gap_since_ms = None
        self._rebinding = None
        self._closed = False
        self.sequence = sequence
        self.rebinds = 0

    async def open(self, deadline_ms: int) -> None:
        """Open the first flow of the stream."""
        give_up_ms = self._client._clock.now_ms() + deadline_ms
        flow = await self._client._open(
            self._address, give_up_ms, self._name, self.sequence
        )
        if isinstance(flow, Outcome):
            raise StreamEnded(flow.reason.value)
        self._use(flow)

    def _use(self, flow):
        self._flow = flow
        task = asyncio.create_task(self._read(flow))
        self._client._keep(task)

    async def _read(self, flow):
        while not self._closed and flow.flow_id in self._client._flows:
            packet = await flow.inbox.get()
            match packet:
                case Push():
                    await self._on_push(flow, packet)
                case Rebind():
                    self._start_rebind(flow)
                case Refused() if packet.reason in FINAL_REFUSALS:
                    await self._end(packet.reason)
                case Refused():
                    self._start_rebind(flow)

    async def _on_push(self, flow, packet):
        if flow is self._flow and self._old:
            # The new flow delivers, so the old ones may go.
            for old in self._old:
                self._client._close(old)
            self._old.clear()
        if packet.sequence <= self.sequence:
            return
        self._early[packet.sequence] = packet.body
        while self.sequence + 1 in self._early:
            self.sequence += 1
            body = self._early.pop(self.sequence)
            await self._events.put(StreamEvent(self.sequence, body))
        if not self._early:
            self._gap_since_ms = None
        elif self._gap_since_ms is None:
            self._gap_since_ms = self._client._clock.now_ms()

    def _start_rebind(self, flow):
        if flow is not self._flow or self._rebinding is not None:
            return
        self._rebinding = asyncio.create_task(self._rebind(flow))
        self._client._keep(self._rebinding)

    async def _rebind(self, old):
        """Make the new flow before the old one is broken."""
        try:
            give_up_ms = self._client._clock.now_ms() + 10_000
            flow = await self._client._open(
                self._address,
                give_up_ms,
                self._name,
                self.sequence,
                old.token,
            )
            if isinstance(flow, Outcome):
                if flow.reason and flow.reason.value in FINAL_REFUSALS:
                    await self._end(flow.reason.value)
                return
            self.rebinds += 1
            now_ms = self._client._clock.now_ms()
            self._old[old] = now_ms + OVERLAP_MS
            self._use(flow)
        finally:
            self._rebinding = None

    async def keep_alive(self) -> None:
        """Send keepalives, sooner while an event is missing."""
        next_ms = 0
        while not self._closed:
            now_ms = self._client._clock.now_ms()
            if now_ms >= next_ms or self._has_gap(now_ms):
                next_ms = now_ms + KEEPALIVE_MS
                self._send_keepalive()
            for old in [o for o, end in self._old.items() if now_ms >= end]:
                del self._old[old]
                self._client._close(old)
            await asyncio.sleep(seconds(REPAIR_MS))

    def _has_gap(self, now_ms):
        since_ms = self._gap_since_ms
        return since_ms is not None and now_ms - since_ms >= REPAIR_MS

    def _send_keepalive(self):
        flow = self._flow
        packet = Keepalive(flow.flow_id, flow.token, self._name, self.sequence)
        self._client._send(flow, packet)

    async def _end(self, reason):
        self._closed = True
        await self._events.put(StreamEnded(reason))

    def close(self) -> None:
        """Give the stream up."""
        self._closed = True
        for flow in [*self._old, self._flow]:
            self._client._close(flow)

    def __aiter__(self):
        return self

    async def __anext__(self) -> StreamEvent:
        event = await self._events.get()
        if isinstance(event, StreamEnded):
            raise event
        return event


def _endpoint(address):
    return parse_endpoint(address) if isinstance(address, str) else address


def _reason(text):
    try:
        return Reason(text)
    except ValueError:
        # A newer balancer may know reasons that this caller does not.
        return None


def _outcome(packet, body):
    try:
        verdict = Verdict(packet.verdict)
    except ValueError:
        verdict = Verdict.MAY_HAVE_RUN
    if verdict is not Verdict.RAN:
        body = b''
    reason = _reason(packet.reason) if packet.reason else None
    return Outcome(verdict, body, reason, packet.retry_after_ms)


def _no_flow(flow):
    reason = Reason.DEADLINE_PASSED
    retry_after_ms = 0
    if flow.refusal is not None:
        reason = _reason(flow.refusal.reason)
        retry_after_ms = flow.refusal.retry_after_ms
    return Outcome(
        Verdict.NOT_RUN, reason=reason, retry_after_ms=retry_after_ms
    )


def _all_copies(outcome, in_doubt):
    """Say NOT_RUN only if no earlier copy of the request is in doubt."""
    if not in_doubt or outcome.verdict is not Verdict.NOT_RUN:
        return outcome
    return Outcome(Verdict.MAY_HAVE_RUN, reason=outcome.reason)


async def _wait(event, wait_ms):
    try:
        await asyncio.wait_for(event.wait(), seconds(wait_ms))
    except TimeoutError:
        pass
