"""Stand-in for targets: slots, speed, cold start, drain, shed, cancel.

One process is one instance; it may serve one endpoint for each of several
teams.  Each endpoint accepts websocket connections of balancers and plain
HTTP requests on the same port: ``/health``, ``/load`` (delayed or false if
so configured), and ``/set?drain=1&speed=0.5`` for tests.
"""

import argparse
import asyncio
import json
from pathlib import Path
import secrets
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

from attrs import define
from attrs import Factory
from attrs import frozen
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from liftmount._internal.clock import Clock
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.packets import MAX_BODY_BYTES
from liftmount._internal.network import target_frames as frames
from stand_ins import workload
from stand_ins.records import Recorder

PUSH_TICK_MS = 20
COLD_SLOWDOWN = 4.0


@frozen
class EndpointPlan:
    """Plan of one endpoint.

    ``speed`` divides the run time of requests; during its first
    ``cold_ms`` the endpoint is slower by COLD_SLOWDOWN.  It sheds requests
    beyond ``slots`` running and ``queue`` waiting ones.
    """

    name: str
    team: str
    pool: str
    address: str
    slots: int = 3
    speed: float = 1.0
    queue: int = 0
    cold_ms: int = 0


@define(eq=False)
class ActiveRequest:
    """A request that has not been answered yet."""

    request_id: int
    work: workload.Work
    deadline_at_ms: int
    task: asyncio.Task | None = None
    started: bool = False


@define(eq=False)
class AttachedStream:
    """A stream whose events are pushed over one connection."""

    nonce: int
    name: bytes
    plan: workload.StreamPlan
    sequence: int


@define(eq=False)
class Connection:
    """One connection of a balancer."""

    socket: object
    requests: dict = Factory(dict)
    streams: dict = Factory(dict)


class TargetEndpoint:
    """Serves one endpoint.

    ``lies`` replaces the load that ``/load`` reports; ``lag_ms`` delays it.
    """

    def __init__(self, plan, recorder):
        self.plan = plan
        self.recorder = recorder
        self.clock = Clock()
        self.incarnation = secrets.randbits(48)
        self.speed = plan.speed
        self.born_ms = self.clock.now_ms()
        self.slots = asyncio.Semaphore(plan.slots)
        self.pending = 0
        self.draining = False
        self.lies = None
        self.lag_ms = 0
        self.shown_load = 0
        self.connections = set()

    def record(self, event, **fields):
        """Write a record that names this endpoint."""
        name = f'{self.plan.team}/{self.plan.name}'
        self.recorder.write(event, target=name, **fields)

    async def start(self):
        """Bind and serve."""
        address = parse_endpoint(self.plan.address)
        await serve(
            self.on_connection,
            address.ip,
            address.port,
            process_request=self.on_http,
            compression=None,
            max_size=MAX_BODY_BYTES + 4_096,
            close_timeout=0.2,
        )
        asyncio.create_task(self._push_forever())

    def on_http(self, connection, request):
        """Answer plain HTTP; return None to continue as websocket."""
        parts = urlsplit(request.path)
        if parts.path == '/health':
            return connection.respond(200, 'ok\n')
        if parts.path == '/load':
            load = self.shown_load if self.lies is None else self.lies
            return connection.respond(200, f'{load}\n')
        if parts.path == '/set':
            self._set(dict(parse_qsl(parts.query)))
            return connection.respond(200, 'ok\n')
        return None

    def _set(self, values):
        if 'speed' in values:
            self.speed = float(values['speed'])
        if 'lies' in values:
            self.lies = int(values['lies'])
        if 'lag_ms' in values:
            self.lag_ms = int(values['lag_ms'])
        if 'drain' in values:
            self.draining = values['drain'] == '1'
            self.record('draining', is_draining=self.draining)
            for connection in self.connections:
                asyncio.create_task(self._notify_drain(connection))

    async def _notify_drain(self, connection):
        await self._send(connection, frames.DrainNotice(self.draining))

    async def on_connection(self, socket):
        """Serve one connection of a balancer."""
        connection = Connection(socket)
        self.connections.add(connection)
        try:
            hello = frames.TargetHello(
                self.plan.name,
                self.plan.team,
                self.plan.pool,
                self.incarnation,
                self.draining,
            )
            await self._send(connection, hello)
            async for data in socket:
                await self._on_frame(connection, frames.CODEC.decode(data))
        except WebSocketException:
            pass
        finally:
            self.connections.discard(connection)

    @staticmethod
    async def _send(connection, frame):
        try:
            await connection.socket.send(frames.CODEC.encode(frame))
        except WebSocketException:
            pass

    async def _on_frame(self, connection, frame):
        match frame:
            case frames.TargetRequest():
                await self._on_request(connection, frame)
            case frames.TargetCancel():
                await self._on_cancel(connection, frame.request_id)
            case frames.StreamAttach():
                self._on_attach(connection, frame)
            case frames.StreamDetach():
                connection.streams.pop(frame.nonce, None)

    async def _on_request(self, connection, frame):
        work = workload.decode_work(frame.body)
        if work.team != self.plan.team or work.service != frame.service:
            self.record('wrong_service', id=work.id, wanted=work.team)
        full = self.pending >= self.plan.slots + self.plan.queue
        if self.draining or full:
            why = 'draining' if self.draining else 'full'
            self.record('shed', id=work.id, why=why)
            refusal = frames.TargetRefusal(frame.request_id, 100, False)
            await self._send(connection, refusal)
            return
        self._change_pending(1)
        deadline_at_ms = self.clock.now_ms() + frame.deadline_ms
        active = ActiveRequest(frame.request_id, work, deadline_at_ms)
        connection.requests[frame.request_id] = active
        active.task = asyncio.create_task(self._run(connection, active))

    def _change_pending(self, change):
        """Change the number of requests; ``/load`` follows after lag_ms."""
        self.pending += change
        loop = asyncio.get_running_loop()
        pending = self.pending
        loop.call_later(self.lag_ms / 1000, self._show_load, pending)

    def _show_load(self, pending):
        self.shown_load = pending

    async def _run(self, connection, active):
        work = active.work
        try:
            async with self.slots:
                if self.clock.now_ms() >= active.deadline_at_ms:
                    await self._refuse(connection, active)
                    return
                active.started = True
                busy_ms = work.work_ms / self._speed_now()
                self.record(
                    'run',
                    id=work.id,
                    service=work.service,
                    work_ms=work.work_ms,
                    busy_ms=busy_ms,
                )
                await asyncio.sleep(busy_ms / 1000)
            body = workload.make_answer(work.id, work.answer_bytes)
            answer = frames.TargetAnswer(active.request_id, body)
            await self._send(connection, answer)
        finally:
            self._change_pending(-1)
            connection.requests.pop(active.request_id, None)

    async def _refuse(self, connection, active):
        refusal = frames.TargetRefusal(active.request_id, 0, True)
        await self._send(connection, refusal)

    def _speed_now(self):
        age_ms = self.clock.now_ms() - self.born_ms
        if age_ms < self.plan.cold_ms:
            return self.speed / COLD_SLOWDOWN
        return self.speed

    async def _on_cancel(self, connection, request_id):
        active = connection.requests.get(request_id)
        if active is None or active.started:
            return
        active.task.cancel()
        await self._refuse(connection, active)

    def _on_attach(self, connection, frame):
        plan = workload.parse_stream_name(frame.name)
        if plan.team != self.plan.team or plan.service != frame.service:
            self.record('wrong_service', id=frame.name.decode())
        if self.draining:
            self.record('attach_while_draining', id=frame.name.decode())
        else:
            self.record('attach', id=frame.name.decode())
        connection.streams[frame.nonce] = AttachedStream(
            frame.nonce, frame.name, plan, frame.sequence
        )

    async def _push_forever(self):
        while True:
            await asyncio.sleep(PUSH_TICK_MS / 1000)
            wall_ms = self.clock.wall_ms()
            for connection in list(self.connections):
                await self._push_due(connection, wall_ms)

    async def _push_due(self, connection, wall_ms):
        for stream in list(connection.streams.values()):
            newest = stream.plan.due(wall_ms)
            while stream.sequence < newest:
                stream.sequence += 1
                body = workload.stream_event(stream.name, stream.sequence)
                push = frames.StreamPush(stream.nonce, stream.sequence, body)
                await self._send(connection, push)


async def run(options):
    """Serve all endpoints of the plan until cancelled."""
    plans = json.loads(Path(options.plan).read_text())
    recorder = Recorder(Path(options.records))
    endpoints = []
    for document in plans:
        endpoint = TargetEndpoint(EndpointPlan(**document), recorder)
        endpoints.append(endpoint)
        await endpoint.start()
    print(json.dumps({'ready': plans[0]['name']}), flush=True)
    await asyncio.Event().wait()


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--plan', required=True, metavar='FILE')
    parser.add_argument('--records', required=True, metavar='FILE')
    try:
        asyncio.run(run(parser.parse_args()))
    except KeyboardInterrupt:
        pass


if __name__ == '__main__':
    main()
