"""Caller side of a stream."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.models.packets import Keepalive
from liftmount._internal.models.packets import Push
from liftmount._internal.models.packets import Rebind
from liftmount._internal.models.packets import Refused
from liftmount._internal.models.verdict import Outcome
from liftmount._internal.network.caller_flow import FINAL_REFUSALS
from liftmount._internal.network.caller_flow import StreamEnded
from liftmount._internal.network.caller_flow import StreamEvent

KEEPALIVE_MS = 1_000
# Wait for reordered events before a gap is reported by a keepalive.
REORDER_WAIT_MS = 80
# How long the replaced flow stays open after a rebind.
REBIND_OVERLAP_MS = 1_500
REBIND_TIMEOUT_MS = 10_000
MAX_BUFFERED_EVENTS = 4_096


class Stream:
    """Events of one stream, in order, across changes of home and target.

    Iterate over it asynchronously; iteration raises StreamEnded when the
    stream cannot continue.  ``sequence`` is that of the last event
    queued in order, ``rebinds`` counts changes of the flow.
    """

    def __init__(self, client, address, name, sequence):
        self._client = client
        self._address = address
        self._name = name
        self._flow = None
        self._old_flows = {}
        self._out_of_order = {}
        self._events = asyncio.Queue(MAX_BUFFERED_EVENTS)
        self._gap_detected = asyncio.Event()
        self._rebind_task = None
        self._closed = False
        self.sequence = sequence
        self.rebinds = 0

    async def open(self, deadline_ms: int) -> None:
        """Open the first flow; raises StreamEnded if that fails."""
        give_up_ms = self._client.clock.now_ms() + deadline_ms
        flow = await self._client.open_flow(
            self._address, give_up_ms, self._name, self.sequence
        )
        if isinstance(flow, Outcome):
            raise StreamEnded(flow.reason.value)
        self._start_reading(flow)

    def _start_reading(self, flow):
        self._flow = flow
        task = asyncio.create_task(self._read(flow))
        self._client.keep_task(task)

    async def _read(self, flow):
        while not self._closed and flow.flow_id in self._client.flows:
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
        if flow is self._flow and self._old_flows:
            # The new flow delivers events: close the ones it replaced.
            for old in self._old_flows:
                self._client.close_flow(old)
            self._old_flows.clear()
        if packet.sequence <= self.sequence:
            return
        self._out_of_order[packet.sequence] = packet.body
        while self.sequence + 1 in self._out_of_order:
            self.sequence += 1
            body = self._out_of_order.pop(self.sequence)
            await self._events.put(StreamEvent(self.sequence, body))
        if self._out_of_order:
            self._gap_detected.set()

    def _start_rebind(self, flow):
        if flow is not self._flow or self._rebind_task is not None:
            return
        self._rebind_task = asyncio.create_task(self._rebind(flow))
        self._client.keep_task(self._rebind_task)

    async def _rebind(self, old):
        """Open a new flow while the old one still delivers events."""
        try:
            give_up_ms = self._client.clock.now_ms() + REBIND_TIMEOUT_MS
            flow = await self._client.open_flow(
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
            now_ms = self._client.clock.now_ms()
            self._old_flows[old] = now_ms + REBIND_OVERLAP_MS
            self._start_reading(flow)
        finally:
            self._rebind_task = None

    async def keep_alive(self) -> None:
        """Send keepalives periodically, and early when events are missing."""
        while not self._closed:
            self._send_keepalive()
            self._close_expired_flows()
            self._gap_detected.clear()
            try:
                async with asyncio.timeout(seconds(KEEPALIVE_MS)):
                    await self._gap_detected.wait()
                    # The missing events may only be reordered.
                    await asyncio.sleep(seconds(REORDER_WAIT_MS))
            except TimeoutError:
                pass

    def _close_expired_flows(self):
        now_ms = self._client.clock.now_ms()
        for old in [o for o, end in self._old_flows.items() if now_ms >= end]:
            del self._old_flows[old]
            self._client.close_flow(old)

    def _send_keepalive(self):
        flow = self._flow
        packet = Keepalive(flow.flow_id, flow.token, self._name, self.sequence)
        self._client.send(flow, packet)

    async def _end(self, reason):
        self._closed = True
        await self._events.put(StreamEnded(reason))

    def close(self) -> None:
        """Close the stream and its flows."""
        self._closed = True
        for flow in [*self._old_flows, self._flow]:
            self._client.close_flow(flow)

    def __aiter__(self):
        return self

    async def __anext__(self) -> StreamEvent:
        event = await self._events.get()
        if isinstance(event, StreamEnded):
            raise event
        return event
