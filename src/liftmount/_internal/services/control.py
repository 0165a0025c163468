"""Control connections to other balancers and to the command-line tool.

Configuration changes are relayed down the relay tree of the failure
domain, from parent to children.  Reports of the configuration that each
balancer has applied are aggregated up the tree, to the root.
"""

import asyncio
import logging

from attrs import define
from attrs import Factory
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from liftmount._internal.clock import seconds
from liftmount._internal.decisions.relay import find_parent
from liftmount._internal.decisions.relay import relay_order
from liftmount._internal.decisions.relay import SubtreeReports
from liftmount._internal.exceptions import PacketError
from liftmount._internal.kernel import Service
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.messages import AppliedDigestsChanged
from liftmount._internal.models.messages import ConfigurationChanged
from liftmount._internal.models.messages import Inspect
from liftmount._internal.models.messages import MembersChanged
from liftmount._internal.models.messages import ObjectsReceived
from liftmount._internal.models.messages import PullObjects
from liftmount._internal.network import control_frames as frames

LOG = logging.getLogger('liftmount.control')
CONNECT_TIMEOUT_MS = 1_000
PING_INTERVAL_MS = 5_000
RECONNECT_DELAY_MS = 200
REPORT_DELAY_MS = 50
INSPECT_TIMEOUT_MS = 2_000
MAX_FRAME_BYTES = 64 * 1_048_576


@define(eq=False)
class _Child:
    """A child in the relay tree and the frames queued for it."""

    name: str
    socket: object
    outbox: asyncio.Queue = Factory(asyncio.Queue)


class ControlService(Service):
    """Owns the control socket and the connection to the parent."""

    name = 'control'

    def __init__(self, kernel, settings, identity, counters):
        super().__init__(kernel)
        self.settings = settings
        self.identity = identity
        self.counters = counters
        self.address = None
        self._server = None
        self._children = {}
        self._members = None
        self._reports = SubtreeReports(identity.name)
        self._report_timer = None
        self._parent = None
        self._parent_socket = None
        self._parent_changed = asyncio.Event()
        self._tasks = set()

    async def start(self):
        """Bind the socket; subscribe to configuration and members."""
        listen = self.settings.listen.control
        self._server = await serve(
            self._on_connection,
            listen.ip,
            listen.port,
            compression=None,
            ping_interval=seconds(PING_INTERVAL_MS),
            max_size=MAX_FRAME_BYTES,
            close_timeout=0.2,
        )
        pair = next(iter(self._server.sockets)).getsockname()
        self.address = Endpoint(pair[0], pair[1])
        self.kernel.stream('configuration').subscribe(self.post)
        self.kernel.stream('members').subscribe(self.post)

    async def stop(self):
        """Close all connections."""
        for task in list(self._tasks):
            task.cancel()
        if self._report_timer is not None:
            self._report_timer.cancel()
        if self._server is not None:
            self._server.close()

    async def run(self):
        """Handle messages and keep a subscription to the parent."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().run())
            group.create_task(self._maintain_subscription())

    def handle(self, message):
        """Handle one message of another service."""
        match message:
            case ConfigurationChanged():
                self._relay_to_children(message)
            case MembersChanged():
                self._members = message
                self._choose_parent()
            case PullObjects():
                self._spawn(self._pull(message.member))
            case _:
                super().handle(message)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Configuration, down the relay tree.

    def _relay_to_children(self, message):
        rows = frames.pack_objects(message.changed)
        data = frames.CODEC.encode(frames.Objects(rows))
        for child in self._children.values():
            child.outbox.put_nowait(data)
        self._reports.digest = message.digest
        self._schedule_report()

    def _choose_parent(self):
        domain = self.identity.failure_domain
        known = [self._members.own, *self._members.members.values()]
        local = [member for member in known if member.failure_domain == domain]
        parent = find_parent(relay_order(local), self.identity.name)
        if parent != self._parent:
            self._parent = parent
            self._parent_changed.set()
            self._schedule_report()

    async def _maintain_subscription(self):
        while True:
            self._parent_changed.clear()
            parent = self._members and self._members.members.get(self._parent)
            if parent is None:
                await self._parent_changed.wait()
                continue
            subscription = asyncio.create_task(self._subscribe(parent))
            changed = asyncio.create_task(self._parent_changed.wait())
            try:
                await asyncio.wait(
                    {subscription, changed},
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                subscription.cancel()
                changed.cancel()
                await asyncio.gather(
                    subscription, changed, return_exceptions=True
                )
            await asyncio.sleep(seconds(RECONNECT_DELAY_MS))

    def _connect(self, member):
        return connect(
            f'ws://{member.control}/',
            open_timeout=seconds(CONNECT_TIMEOUT_MS),
            ping_interval=seconds(PING_INTERVAL_MS),
            close_timeout=0.2,
            compression=None,
            proxy=None,
            max_size=MAX_FRAME_BYTES,
            local_addr=(self.settings.listen.control.ip, 0),
        )

    async def _subscribe(self, parent):
        try:
            async with self._connect(parent) as socket:
                versions = self._local_store().versions()
                hello = frames.Subscribe(self.identity.name, versions)
                await socket.send(frames.CODEC.encode(hello))
                self._parent_socket = socket
                self._schedule_report()
                async for frame in socket:
                    self._post_objects(frame, parent.name)
        except (TimeoutError, OSError, WebSocketException) as error:
            LOG.info('Parent %s is unreachable: %r.', parent.name, error)
        except PacketError as error:
            LOG.warning('Bad frame from parent %s: %s.', parent.name, error)
        finally:
            self._parent_socket = None

    def _local_store(self):
        return self.kernel.lookup('configuration').store

    def _post_objects(self, frame, source):
        message = frames.CODEC.decode(frame)
        if isinstance(message, frames.Objects):
            objects = frames.unpack_objects(message.objects)
            arrived = ObjectsReceived(objects, source)
            self.kernel.post('configuration', arrived)

    async def _pull(self, member):
        """Fetch the objects that this balancer lacks from ``member``."""
        request = frames.SyncRequest(self._local_store().versions())
        try:
            async with self._connect(member) as socket:
                await socket.send(frames.CODEC.encode(request))
                async with asyncio.timeout(seconds(CONNECT_TIMEOUT_MS)):
                    frame = await socket.recv()
                self._post_objects(frame, member.name)
        except (TimeoutError, OSError, WebSocketException) as error:
            LOG.info('Cannot pull from %s: %r.', member.name, error)
        except PacketError as error:
            LOG.warning('Bad frame from member %s: %s.', member.name, error)

    # Reports, up the relay tree.

    def _schedule_report(self):
        """Schedule one report, which covers all changes until then."""
        if self._report_timer is None:
            loop = asyncio.get_running_loop()
            delay_s = seconds(REPORT_DELAY_MS)
            self._report_timer = loop.call_later(delay_s, self._send_report)

    def _send_report(self):
        self._report_timer = None
        digests = self._reports.combined()
        if self._parent is None:
            self.kernel.post('platform', AppliedDigestsChanged(digests))
        elif self._parent_socket is not None:
            data = frames.CODEC.encode(frames.Applied(digests))
            self._spawn(self._try_send(self._parent_socket, data))

    @staticmethod
    async def _try_send(socket, data):
        try:
            await socket.send(data)
        except WebSocketException:
            pass

    # Incoming connections: children, other members and the tool.

    async def _on_connection(self, socket):
        child = None
        try:
            async for frame in socket:
                message = frames.CODEC.decode(frame)
                match message:
                    case frames.Subscribe():
                        child = self._add_child(message, socket)
                    case frames.SyncRequest():
                        await self._answer_sync(message, socket)
                    case frames.Applied() if child is not None:
                        self._reports.note_child(child.name, message.digests)
                        self._schedule_report()
                    case frames.InspectRequest():
                        await self._answer_inspect(message, socket)
        except WebSocketException:
            pass
        except (PacketError, ValueError, TypeError) as error:
            LOG.warning('Invalid control frame: %s.', error)
        finally:
            self._remove_child(child)

    def _add_child(self, message, socket):
        child = _Child(message.name, socket)
        self._children[message.name] = child
        child.outbox.put_nowait(self._encode_newer(message.versions))
        self._spawn(self._send_outbox(child))
        return child

    def _remove_child(self, child):
        if child is None:
            return
        child.outbox.put_nowait(None)
        if self._children.get(child.name) is child:
            del self._children[child.name]
            self._reports.drop_child(child.name)
            self._schedule_report()

    async def _send_outbox(self, child):
        while True:
            data = await child.outbox.get()
            if data is None:
                return
            self.counters.count('control_bytes', len(data))
            try:
                await child.socket.send(data)
            except WebSocketException:
                return

    def _encode_newer(self, versions):
        rows = frames.pack_objects(self._local_store().newer_than(versions))
        return frames.CODEC.encode(frames.Objects(rows))

    async def _answer_sync(self, message, socket):
        data = self._encode_newer(message.versions)
        self.counters.count('control_bytes', len(data))
        await socket.send(data)

    async def _answer_inspect(self, message, socket):
        document = {}
        for name in _INSPECTED_SERVICES.get(message.subject, ()):
            answer = asyncio.get_running_loop().create_future()
            inspect = Inspect(message.subject, message.argument, answer)
            self.kernel.post(name, inspect)
            async with asyncio.timeout(seconds(INSPECT_TIMEOUT_MS)):
                document[name] = await answer
        document['members'] = self._describe_members()
        reply = frames.InspectAnswer(document)
        await socket.send(frames.CODEC.encode(reply))

    def _describe_members(self):
        if self._members is None:
            return {}
        known = [self._members.own, *self._members.members.values()]
        return {member.name: member.status.name.lower() for member in known}


# Services that answer about a subject, by the subject.
_INSPECTED_SERVICES = {
    'flow': ('data',),
    'instance': ('data', 'configuration', 'platform'),
}
