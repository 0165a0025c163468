"""Stand-in for callers: streams and requests of one deployment.

Reads a plan, runs it until SIGTERM, and records the outcome of each request
and stream.  Requests form an open loop: they do not wait for answers.
"""

import argparse
import asyncio
import json
from pathlib import Path
import random
import signal

from attrs import Factory
from attrs import frozen

from liftmount._internal.clock import Clock
from liftmount._internal.exceptions import LiftmountError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.verdict import Verdict
from liftmount.client import Client
from liftmount.client import StreamEnded
from stand_ins import workload
from stand_ins.records import Recorder
from stand_ins.workload import Work

# A stream without events, or behind the events due, for this long is broken.
LATE_MS = 5_000
OPEN_MS = 15_000
STOP_MS = 8_000


@frozen
class StreamLoad:
    """Streams of one service."""

    service: str
    address: str
    count: int
    interval_ms: int


@frozen
class RequestLoad:
    """Requests of one service.

    ``spread`` is the coefficient of variation of the work per request.
    """

    service: str
    address: str
    repeatable: bool
    deadline_ms: int
    per_second: float
    work_ms: float
    spread: float
    answer_bytes: int


@frozen
class CallerPlan:
    """The callers of one team that share a process."""

    team: str
    local_ip: str
    seed: int
    clients: int
    streams: list = Factory(list)
    requests: list = Factory(list)


def read_plan(path: Path) -> CallerPlan:
    """Read a plan from a JSON file."""
    document = json.loads(path.read_text())
    streams = [StreamLoad(**one) for one in document.pop('streams')]
    requests = [RequestLoad(**one) for one in document.pop('requests')]
    return CallerPlan(streams=streams, requests=requests, **document)


class Callers:
    """Runs one plan."""

    def __init__(self, plan, recorder):
        self.plan = plan
        self.recorder = recorder
        self.clock = Clock()
        self.random = random.Random(plan.seed)
        self.clients = []
        self.stopping = asyncio.Event()
        self.requests = set()
        self.request_count = 0

    async def run(self):
        """Open clients, run the loads until ``stopping``, then finish."""
        local = Endpoint(self.plan.local_ip, 0)
        for _ in range(self.plan.clients):
            client = Client(local)
            await client.__aenter__()
            self.clients.append(client)
        streams = [
            asyncio.create_task(self._stream(load, index))
            for load in self.plan.streams
            for index in range(load.count)
        ]
        loads = [
            asyncio.create_task(self._request_forever(load))
            for load in self.plan.requests
        ]
        print(json.dumps({'ready': self.plan.team}), flush=True)
        await self.stopping.wait()
        for task in loads:
            task.cancel()
        if self.requests:
            await asyncio.wait(self.requests, timeout=STOP_MS / 1000)
        await asyncio.gather(*streams, *loads, return_exceptions=True)
        for client in self.clients:
            await client.__aexit__(None, None, None)

    async def _stream(self, load, index):
        # Avoid a burst of openings.
        await asyncio.sleep(0.002 * index)
        name = workload.stream_name(
            self.plan.team,
            load.service,
            f'{self.plan.seed}-{index}',
            self.clock.wall_ms(),
            load.interval_ms,
        )
        client = self.clients[index % len(self.clients)]
        try:
            stream = await client.open_stream(
                load.address, name, deadline_ms=OPEN_MS
            )
        except StreamEnded as error:
            self._record_stream(name, None, f'not opened: {error.reason}', 0)
            return
        problem, late_ms = await self._follow(stream, name, load)
        self._record_stream(name, stream, problem, late_ms)
        stream.close()

    async def _follow(self, stream, name, load):
        """Read a stream until ``stopping``; return (problem, late_ms)."""
        plan = workload.parse_stream_name(name)
        worst_ms = 0
        stopped = asyncio.create_task(self.stopping.wait())
        while not self.stopping.is_set():
            event = asyncio.create_task(anext(stream))
            done, _ = await asyncio.wait(
                {event, stopped},
                timeout=(LATE_MS + load.interval_ms) / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if event not in done:
                event.cancel()
                if stopped in done:
                    break
                return 'silent', LATE_MS
            try:
                found = event.result()
            except LiftmountError as error:
                return f'ended: {error}', worst_ms
            if found.body != workload.stream_event(name, found.sequence):
                return 'wrong event', worst_ms
            due_ms = plan.start_ms + found.sequence * plan.interval_ms
            worst_ms = max(worst_ms, self.clock.wall_ms() - due_ms)
        stopped.cancel()
        return await self._catch_up(stream, plan), worst_ms

    async def _catch_up(self, stream, plan):
        """Wait for the events that are due; return the problem, if any."""
        due = plan.due(self.clock.wall_ms())
        try:
            async with asyncio.timeout(LATE_MS / 1000):
                while stream.sequence < due:
                    await anext(stream)
        except (TimeoutError, LiftmountError):
            return f'{due - stream.sequence} events behind'
        return ''

    def _record_stream(self, name, stream, problem, late_ms):
        self.recorder.write(
            'stream',
            id=name.decode(),
            team=self.plan.team,
            problem=problem,
            events=stream.sequence if stream else 0,
            rebinds=stream.rebinds if stream else 0,
            late_ms=late_ms,
        )

    async def _request_forever(self, load):
        await asyncio.sleep(0.5)
        while True:
            wait_s = self.random.expovariate(load.per_second)
            await asyncio.sleep(wait_s)
            task = asyncio.create_task(self._request(load))
            self.requests.add(task)
            task.add_done_callback(self.requests.discard)

    async def _request(self, load):
        self.request_count += 1
        work_ms = self.random.gammavariate(
            1 / load.spread**2, load.work_ms * load.spread**2
        )
        work = Work(
            id=f'{self.plan.team}-{self.plan.seed}-{self.request_count}',
            team=self.plan.team,
            service=load.service,
            work_ms=round(work_ms, 2),
            answer_bytes=load.answer_bytes,
        )
        client = self.clients[self.request_count % len(self.clients)]
        started_ms = self.clock.now_ms()
        self.recorder.write('asked', id=work.id, repeatable=load.repeatable)
        outcome = await client.request(
            load.address,
            workload.encode_work(work),
            load.deadline_ms,
            load.repeatable,
        )
        whole = True
        if outcome.verdict is Verdict.RAN:
            expected = workload.make_answer(work.id, work.answer_bytes)
            whole = outcome.body == expected
        self.recorder.write(
            'request',
            id=work.id,
            team=work.team,
            service=work.service,
            repeatable=load.repeatable,
            verdict=outcome.verdict.value,
            reason=outcome.reason.value if outcome.reason else '',
            retry_after_ms=outcome.retry_after_ms,
            whole=whole,
            took_ms=self.clock.now_ms() - started_ms,
        )


async def run(options):
    """Run the plan until SIGTERM."""
    recorder = Recorder(Path(options.records))
    callers = Callers(read_plan(Path(options.plan)), recorder)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, callers.stopping.set)
    await callers.run()
    recorder.write('finished')


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--plan', required=True, metavar='FILE')
    parser.add_argument('--records', required=True, metavar='FILE')
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
