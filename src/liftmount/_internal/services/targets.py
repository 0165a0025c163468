"""Connections to targets: one websocket per target, opened on demand.

A connection neither repeats nor reorders frames, so a request that is
written once arrives at most once.  The target's identity is verified
before anything is written, as its address may have been reassigned.
"""

import asyncio
from collections import deque
import logging

from attrs import define
from attrs import Factory
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from liftmount._internal.clock import seconds
from liftmount._internal.decisions.rollout import ConfigurationView
from liftmount._internal.exceptions import PacketError
from liftmount._internal.kernel import Service
from liftmount._internal.models import actions as act
from liftmount._internal.models import events
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.messages import ConfigurationChanged
from liftmount._internal.models.messages import TargetConnected
from liftmount._internal.models.messages import TargetDraining
from liftmount._internal.models.packets import MAX_BODY_BYTES
from liftmount._internal.models.reasons import Reason
from liftmount._internal.network import target_frames as frames

LOG = logging.getLogger('liftmount.targets')
CONNECT_TIMEOUT_MS = 1_000
PING_INTERVAL_MS = 1_000
PING_TIMEOUT_MS = 3_000
FRAME_OVERHEAD_BYTES = 4_096


@define(eq=False)
class Link:
    """A connection to a target, open or being opened.

    ``requests`` holds the written requests without an answer, by id, and
    ``streams`` the nonces of the attached streams.
    """

    target: str
    location: Endpoint
    queue: deque = Factory(deque)
    wake: asyncio.Event = Factory(asyncio.Event)
    requests: dict = Factory(dict)
    streams: set = Factory(set)
    is_open: bool = False
    last_used_ms: int = 0
    task: asyncio.Task | None = None

    def post(self, action) -> None:
        """Queue an action to be written."""
        self.queue.append(action)
        self.wake.set()


class TargetService(Service):
    """Owns all connections to targets."""

    name = 'targets'

    def __init__(self, kernel, settings, counters):
        super().__init__(kernel)
        self.settings = settings
        self.counters = counters
        self.links = {}
        self.view = ConfigurationView()
        self._tasks = set()
        self._local_ip = settings.listen.peer.ip

    async def start(self):
        """Subscribe to the configuration."""
        self.kernel.stream('configuration').subscribe(self.post)

    async def stop(self):
        """Close all connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def handle(self, message):
        """Handle one message of another service."""
        match message:
            case act.SendRequest() | act.AttachStream():
                self._submit(message)
            case act.SendCancel() | act.DetachStream():
                link = self.links.get(message.target)
                if link is not None:
                    link.post(message)
            case ConfigurationChanged():
                self._update_locations(message.view)
            case _:
                super().handle(message)

    def _update_locations(self, view):
        self.view = view
        for name, link in list(self.links.items()):
            if view.location(name) != link.location:
                link.task.cancel()

    def _submit(self, action):
        link = self.links.get(action.target) or self._connect(action.target)
        if link is None:
            self._report_unwritten([action], action.target)
            return
        link.post(action)

    def _connect(self, target):
        location = self.view.location(target)
        if location is None:
            return None
        if len(self.links) >= self.settings.limits.max_connections:
            self._close_least_recent()
        link = Link(target, location, last_used_ms=self.clock.now_ms())
        self.links[target] = link
        link.task = asyncio.create_task(self._run_link(link))
        self._tasks.add(link.task)
        link.task.add_done_callback(self._tasks.discard)
        return link

    def _close_least_recent(self):
        idle = [
            one
            for one in self.links.values()
            if not one.requests and not one.streams and not one.queue
        ]
        if idle:
            min(idle, key=lambda one: one.last_used_ms).task.cancel()

    async def _run_link(self, link):
        try:
            await self._serve(link)
        except (OSError, WebSocketException, PacketError) as error:
            name = type(error).__name__
            LOG.info('Connection to target %s ended: %s.', link.target, name)
        except TimeoutError:
            LOG.info('Connection to target %s timed out.', link.target)
        finally:
            self._report_lost(link)

    async def _serve(self, link):
        url = f'ws://{link.location}/'
        async with connect(
            url,
            open_timeout=seconds(CONNECT_TIMEOUT_MS),
            ping_interval=seconds(PING_INTERVAL_MS),
            ping_timeout=seconds(PING_TIMEOUT_MS),
            close_timeout=0.2,
            compression=None,
            proxy=None,
            max_size=MAX_BODY_BYTES + FRAME_OVERHEAD_BYTES,
            local_addr=(self._local_ip, 0),
        ) as socket:
            async with asyncio.timeout(seconds(CONNECT_TIMEOUT_MS)):
                hello = frames.CODEC.decode(await socket.recv())
            if not self._verify_identity(link, hello):
                return
            link.is_open = True
            connected = TargetConnected(link.target, hello.incarnation)
            self.kernel.post('data', connected)
            if hello.is_draining:
                self._reject_queued(link)
            await self._exchange_frames(link, socket)

    def _reject_queued(self, link):
        """Report the queued new work of a draining target as not written."""
        notice = TargetDraining(link.target, True)
        self.kernel.post('data', notice)
        self._report_unwritten(_select_new_work(link.queue), link.target)
        link.queue.clear()

    async def _exchange_frames(self, link, socket):
        writer = asyncio.create_task(self._write_queued(link, socket))
        try:
            async for frame in socket:
                self._on_frame(link, frames.CODEC.decode(frame))
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)

    def _verify_identity(self, link, hello):
        team, _separator, name = link.target.partition('/')
        match hello:
            case frames.TargetHello(name=found, team=found_team):
                if (found_team, found) == (team, name):
                    return True
        self.counters.refused(Reason.TARGET_REPLACED)
        LOG.warning(
            'Another target answers at the address of %s.', link.target
        )
        return False

    async def _write_queued(self, link, socket):
        while True:
            while link.queue:
                action = link.queue.popleft()
                link.last_used_ms = self.clock.now_ms()
                await self._write_one(link, socket, action)
            link.wake.clear()
            await link.wake.wait()

    async def _write_one(self, link, socket, action):
        match action:
            case act.SendRequest():
                # The target may run the request even if the write fails.
                link.requests[action.request_id] = action
                frame = frames.TargetRequest(
                    action.request_id,
                    action.service.name,
                    action.deadline_ms,
                    action.service.priority,
                    action.body,
                )
            case act.SendCancel():
                frame = frames.TargetCancel(action.request_id)
            case act.AttachStream():
                link.streams.add(action.nonce)
                frame = frames.StreamAttach(
                    action.nonce,
                    action.service.name,
                    action.name,
                    action.sequence,
                )
            case act.DetachStream():
                link.streams.discard(action.nonce)
                frame = frames.StreamDetach(action.nonce)
        await socket.send(frames.CODEC.encode(frame))

    def _on_frame(self, link, frame):
        now_ms = self.clock.now_ms()
        match frame:
            case frames.TargetAnswer():
                link.requests.pop(frame.request_id, None)
                event = events.TargetAnswered(
                    frame.request_id, frame.body, now_ms
                )
            case frames.TargetRefusal():
                link.requests.pop(frame.request_id, None)
                event = events.TargetRefused(
                    frame.request_id,
                    frame.retry_after_ms,
                    frame.cancelled,
                    now_ms,
                )
            case frames.StreamPush():
                event = events.PushArrived(
                    frame.nonce,
                    link.target,
                    frame.sequence,
                    frame.body,
                    now_ms,
                )
            case frames.DrainNotice():
                event = TargetDraining(link.target, frame.is_draining)
            case _:
                raise PacketError(f'unexpected frame {frame!r}')
        self.kernel.post('data', event)

    def _report_lost(self, link):
        """Report the requests and streams lost with a connection."""
        if self.links.get(link.target) is link:
            del self.links[link.target]
        now_ms = self.clock.now_ms()
        for request_id in link.requests:
            lost = events.RequestLost(request_id, True, now_ms)
            self.kernel.post('data', lost)
        for nonce in link.streams:
            lost = events.StreamLost(nonce, link.target, now_ms)
            self.kernel.post('data', lost)
        self._report_unwritten(_select_new_work(link.queue), link.target)

    def _report_unwritten(self, actions, target):
        now_ms = self.clock.now_ms()
        for action in actions:
            match action:
                case act.SendRequest():
                    event = events.RequestLost(
                        action.request_id, False, now_ms
                    )
                case act.AttachStream():
                    event = events.StreamLost(action.nonce, target, now_ms)
            self.kernel.post('data', event)


def _select_new_work(actions):
    """Return the actions that start a request or a stream."""
    kinds = act.SendRequest | act.AttachStream
    return [one for one in actions if isinstance(one, kinds)]
