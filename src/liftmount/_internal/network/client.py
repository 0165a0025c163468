"""The caller library: requests with verdicts, and resumable streams.

Packets are resent until answered, always under the same token and number,
so that the flow's home can discard duplicates.  A request that may not be
repeated is only ever sent under one token and number.
"""

import asyncio
import logging
import secrets

from liftmount._internal.clock import Clock
from liftmount._internal.clock import seconds
from liftmount._internal.decisions.reassembly import Reassembly
from liftmount._internal.decisions.retry import RetryBudget
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
from liftmount._internal.network.caller_flow import CallerFlow
from liftmount._internal.network.caller_flow import FINAL_REFUSALS
from liftmount._internal.network.stream import Stream
from liftmount._internal.network.udp import UdpSocket

LOG = logging.getLogger('liftmount.client')
FLOW_ID_BYTES = 8
RESEND_FIRST_MS = 150
RESEND_MAX_MS = 1_000
# Probe a home that was silent for longer before sending it a request that
# may not be repeated: if it is gone, the request's outcome stays unknown.
HOME_LIVENESS_TTL_MS = 300
# Refusals with HOME_GONE before a request is given up: a balancer that is
# partitioned from the home sends them too.
HOME_GONE_LIMIT = 3


class Client:
    """Requests and streams of one caller, over one UDP socket.

    Use it as an asynchronous context manager.  ``local`` is the address
    to bind; port 0 takes any free port.
    """

    def __init__(self, local: Endpoint | None = None, clock=None):
        self.clock = clock or Clock()
        self._local = local or Endpoint('0.0.0.0', 0)
        self._socket = None
        self.flows = {}
        self._request_flows = {}
        self._opening = {}
        self._reassembly = Reassembly()
        self._tasks = set()
        self.budget = RetryBudget()

    async def __aenter__(self):
        self._socket = await UdpSocket.bind(self._local, self._on_datagram)
        return self

    async def __aexit__(self, *_error):
        for flow in list(self.flows.values()):
            self.close_flow(flow)
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
        """Run a request and return its Outcome within ``deadline_ms``.

        With ``repeatable``, the request is sent again when its verdict is
        MAY_HAVE_RUN, within the retry budget.  Cancelling the awaiting
        task cancels the request.  Raises ValueError for a body above
        ``MAX_BODY_BYTES``.
        """
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(f'body is above {MAX_BODY_BYTES} bytes')
        address = _to_endpoint(address)
        give_up_ms = self.clock.now_ms() + deadline_ms
        self.budget.earn()
        may_have_run = False
        while True:
            flow = await self._get_ready_flow(address, give_up_ms, repeatable)
            if isinstance(flow, Outcome):
                return _final_outcome(flow, may_have_run)
            outcome = await self._run(flow, body, give_up_ms)
            if not self._may_repeat(outcome, repeatable, give_up_ms):
                return _final_outcome(outcome, may_have_run)
            may_have_run = True

    def _may_repeat(self, outcome, repeatable, give_up_ms):
        if outcome.verdict is not Verdict.MAY_HAVE_RUN or not repeatable:
            return False
        if self.clock.now_ms() >= give_up_ms:
            return False
        return self.budget.spend()

    async def _get_ready_flow(self, address, give_up_ms, repeatable):
        """Return an open flow whose home is alive, or an Outcome."""
        while True:
            flow = self._request_flows.get(address)
            if flow is None or flow.is_retired:
                flow = await self._open_request_flow(address, give_up_ms)
                if isinstance(flow, Outcome):
                    return flow
            silent_ms = self.clock.now_ms() - flow.last_received_ms
            if repeatable or silent_ms < HOME_LIVENESS_TTL_MS:
                return flow
            if await self._is_home_alive(flow, give_up_ms):
                return flow
            if self.clock.now_ms() >= give_up_ms:
                return Outcome(Verdict.NOT_RUN, reason=Reason.DEADLINE_PASSED)
            self._retire(flow)

    async def _open_request_flow(self, address, give_up_ms):
        """Open the flow that all requests to an address share."""
        task = self._opening.get(address)
        if task is None:
            task = asyncio.create_task(self.open_flow(address, give_up_ms))
            self._opening[address] = task
            self.keep_task(task)
            task.add_done_callback(lambda _: self._opening.pop(address))
        flow = await asyncio.shield(task)
        if isinstance(flow, CallerFlow):
            self._request_flows[address] = flow
        return flow

    def keep_task(self, task):
        """Keep a reference to a task; it is cancelled on exit."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def open_flow(
        self, address, give_up_ms, name=b'', sequence=0, token=b''
    ):
        """Open a flow; return it, or a NOT_RUN Outcome if that failed."""
        flow_id = secrets.token_bytes(FLOW_ID_BYTES)
        flow = CallerFlow(address, flow_id, is_stream=bool(name))
        self.flows[flow_id] = flow
        packet = Open(flow_id, token, name, sequence)
        wait_ms = RESEND_FIRST_MS
        while self.clock.now_ms() < give_up_ms:
            flow.refusal = None
            flow.opened.clear()
            self.send(flow, packet)
            await _wait_for_event(flow.opened, wait_ms)
            if flow.token:
                return flow
            if flow.refusal is None:
                wait_ms = min(RESEND_MAX_MS, wait_ms * 3 // 2)
                continue
            if flow.refusal.reason in FINAL_REFUSALS:
                break
            await asyncio.sleep(seconds(max(50, flow.refusal.retry_after_ms)))
        self.flows.pop(flow_id, None)
        return _open_failure(flow)

    async def _is_home_alive(self, flow, give_up_ms):
        """Probe the home with keepalives; return whether it answered."""
        last_received_ms = flow.last_received_ms
        packet = Keepalive(flow.flow_id, flow.token)
        for _attempt in range(HOME_GONE_LIMIT + 1):
            if self.clock.now_ms() >= give_up_ms:
                return False
            flow.opened.clear()
            self.send(flow, packet)
            await _wait_for_event(flow.opened, RESEND_FIRST_MS)
            if flow.last_received_ms > last_received_ms:
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
            self.send(flow, Cancel(number, flow.token, flow.flow_id))
            raise
        finally:
            del flow.waiting[number]
            flow.refusals.pop(number, None)
            if flow.is_retired and not flow.waiting:
                self.close_flow(flow)

    async def _send_until_answered(
        self, flow, number, body, answer, give_up_ms
    ):
        pieces = split_body(body)
        wait_ms = RESEND_FIRST_MS + 2 * len(pieces)
        while True:
            remaining_ms = give_up_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                self.send(flow, Cancel(number, flow.token, flow.flow_id))
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
                    deadline_ms=remaining_ms,
                    body=piece,
                )
                self.send(flow, packet)
            done, _pending = await asyncio.wait(
                {answer}, timeout=seconds(min(wait_ms, remaining_ms))
            )
            if done:
                return answer.result()
            wait_ms = min(RESEND_MAX_MS, wait_ms * 3 // 2)

    def _retire(self, flow):
        """Stop using a flow for new requests."""
        flow.is_retired = True
        if self._request_flows.get(flow.address) is flow:
            del self._request_flows[flow.address]
        if not flow.waiting:
            self.close_flow(flow)

    def close_flow(self, flow):
        """Remove a flow and send a Close to its home."""
        if self.flows.pop(flow.flow_id, None) is not None and flow.token:
            self.send(flow, Close(flow.token, flow.flow_id))

    # Streams.

    async def open_stream(
        self,
        address: Endpoint | str,
        name: bytes,
        sequence: int = 0,
        deadline_ms: int = 10_000,
    ):
        """Open the stream ``name`` at the event after ``sequence``.

        Raises StreamEnded when no flow could be opened in time.
        """
        stream = Stream(self, _to_endpoint(address), name, sequence)
        await stream.open(deadline_ms)
        self.keep_task(asyncio.create_task(stream.keep_alive()))
        return stream

    # Packets.

    def send(self, flow, packet):
        """Send a packet to the address of a flow."""
        data = encode_packet(packet)
        self._socket.send(data, flow.address.socket_address())

    def _on_datagram(self, data, source):
        try:
            packet = decode_packet(data)
        except PacketError:
            return
        flow = self.flows.get(getattr(packet, 'flow_id', b''))
        if flow is None or flow.address.socket_address() != source[:2]:
            return
        match packet:
            case Opened():
                self._on_opened(flow, packet)
            case Answer():
                flow.last_received_ms = self.clock.now_ms()
                self._on_answer(flow, packet)
            case Refused():
                self._on_refused(flow, packet)
            case Rebind():
                if flow.token and flow.address in self._request_flows:
                    self._retire(flow)
                flow.opened.set()
                flow.inbox.put_nowait(packet)
            case Push():
                flow.last_received_ms = self.clock.now_ms()
                flow.inbox.put_nowait(packet)

    def _on_opened(self, flow, packet):
        """Keep one grant of a flow and close any other.

        A flow of requests keeps its first token.  A stream switches to the
        latest one, since another balancer may have become its home.
        """
        if flow.token and packet.grant != flow.grant:
            unwanted = packet.token
            if flow.is_stream:
                unwanted = flow.token
                flow.token = packet.token
                flow.grant = packet.grant
            self.send(flow, Close(unwanted, flow.flow_id))
        elif flow.is_stream or not flow.token:
            flow.token = packet.token
            flow.grant = packet.grant
        flow.last_received_ms = self.clock.now_ms()
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
            self.clock.now_ms(),
        )
        self._reassembly.expire(self.clock.now_ms())
        if body is not None:
            waiting.set_result(_read_outcome(packet, body))

    def _on_refused(self, flow, packet):
        flow.refusal = packet
        flow.opened.set()
        waiting = flow.waiting.get(packet.number)
        if waiting is None:
            flow.inbox.put_nowait(packet)
            return
        refusals = flow.refusals.get(packet.number, 0) + 1
        flow.refusals[packet.number] = refusals
        is_home_gone = packet.reason == Reason.HOME_GONE.value
        if waiting.done() or (is_home_gone and refusals < HOME_GONE_LIMIT):
            return
        reason = _read_reason(packet.reason)
        waiting.set_result(Outcome(Verdict.MAY_HAVE_RUN, reason=reason))
        self._retire(flow)


def _to_endpoint(address):
    return parse_endpoint(address) if isinstance(address, str) else address


def _read_reason(text):
    try:
        return Reason(text)
    except ValueError:
        # Balancers of later versions may send reasons unknown here.
        return None


def _read_outcome(packet, body):
    try:
        verdict = Verdict(packet.verdict)
    except ValueError:
        verdict = Verdict.MAY_HAVE_RUN
    if verdict is not Verdict.RAN:
        body = b''
    reason = _read_reason(packet.reason) if packet.reason else None
    return Outcome(verdict, body, reason, packet.retry_after_ms)


def _open_failure(flow):
    reason = Reason.DEADLINE_PASSED
    retry_after_ms = 0
    if flow.refusal is not None:
        reason = _read_reason(flow.refusal.reason)
        retry_after_ms = flow.refusal.retry_after_ms
    return Outcome(
        Verdict.NOT_RUN, reason=reason, retry_after_ms=retry_after_ms
    )


def _final_outcome(outcome, may_have_run):
    """Return NOT_RUN only if no earlier attempt may have run."""
    if not may_have_run or outcome.verdict is not Verdict.NOT_RUN:
        return outcome
    return Outcome(Verdict.MAY_HAVE_RUN, reason=outcome.reason)


async def _wait_for_event(event, wait_ms):
    try:
        await asyncio.wait_for(event.wait(), seconds(wait_ms))
    except TimeoutError:
        pass
