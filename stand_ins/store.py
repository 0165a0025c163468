"""Stand-in for the platform's store, with its published protocol.

Serves objects by kind and name with one revision counter, paged lists,
long-polling watches, conditional writes and finalizers, and injects faults.
Runs in a thread of the test process or as a separate process.

Tests set faults by ``POST /faults`` and change the instance list, after a
delay, by ``PUT|DELETE /instances/NAME``; ``GET /calls`` returns the number
of calls per client address.  Only calls with the user agent of liftmount are
counted and get faults.
"""

import argparse
import asyncio
from collections import Counter
import json
import sys
import threading
from weakref import WeakSet

from aiohttp import web
from attrs import define
from attrs import Factory

from liftmount._internal.network.http_messages import HTTP_CONFLICT
from liftmount._internal.network.http_messages import HTTP_GONE
from liftmount._internal.network.http_messages import USER_AGENT

PAGE_ITEMS = 500
MAX_VALUE_BYTES = 1_048_576
INSTANCE_KIND = 'instance'
# HTTP status of each kind of trouble; None: no answer.
TROUBLE_STATUSES = {
    'answers 503': 503,
    'answers 429': 429,
    'says nothing': None,
}
SLOW_S = 0.4
NO_ANSWER_S = 3_600
# Size of the chunks of an answer over a slow link.
CHUNK_BYTES = 8_192
MALFORMED_BODY = b'{"items": 5, "events": [{"object": 3}], "current_rev": "x"}'


@define
class Stored:
    """An object and its metadata."""

    kind: str
    name: str
    spec: object
    revision: int
    created_revision: int
    finalizers: list = Factory(list)
    status: object = None
    is_deleting: bool = False

    def document(self) -> dict:
        """Return the object as answers contain it."""
        return {
            'meta': {
                'name': self.name,
                'revision': self.revision,
                'created_rev': self.created_revision,
                'finalizers': self.finalizers,
                'deleting': self.is_deleting,
            },
            'spec': self.spec,
            'status': self.status,
        }


@define
class Faults:
    """Active faults, in addition to ``Store.trouble``.

    ``lose_answers`` is the number of further writes whose answer is lost
    after the write took effect.  ``blocked`` lists client IP addresses whose
    connections are reset.  With ``forgets`` each change leaves the history
    at once.  Answers are sent at ``bytes_per_s`` (0: unlimited) and stall
    after the share ``arrives`` of their bytes.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    forgets: bool = False
    instance_lag_ms: int = 500
    blocked: list = Factory(list)
    bytes_per_s: int = 0
    arrives: float = 1.0


class Store:
    """The store: objects, history of changes, counters of calls.

    ``trouble`` is empty or the name of a failure, see ``_apply_trouble``.
    """

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 0
        self.first_kept = 0
        self.trouble = ''
        # Revision and objects of stale reads; None: as of now.
        self.stale_state = None
        self.faults = Faults()
        self.calls = Counter()
        self.watching = Counter()
        self.listed = Counter()
        self._transports = WeakSet()
        self._silent = WeakSet()
        self._changed = asyncio.Condition()
        self._tasks = set()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            middlewares=[self._apply_faults],
            client_max_size=2 * MAX_VALUE_BYTES,
        )
        app.add_routes(
            [
                web.get('/objects/{kind}', self.list_kind),
                web.post('/objects/{kind}', self.create),
                web.get('/objects/{kind}/{name}', self.get_one),
                web.put('/objects/{kind}/{name}', self.replace),
                web.put('/objects/{kind}/{name}/status', self.set_status),
                web.delete('/objects/{kind}/{name}', self.delete),
                web.put('/instances/{name:.+}', self.put_instance),
                web.delete('/instances/{name:.+}', self.delete_instance),
                web.post('/faults', self.set_faults),
                web.get('/calls', self.get_calls),
            ]
        )
        return app

    @web.middleware
    async def _apply_faults(self, request, handler):
        if request.headers.get('User-Agent') != USER_AGENT:
            return await handler(request)
        self.calls[request.remote] += 1
        self._transports.add(request.transport)
        is_cut = self.faults.down or request.remote in self.faults.blocked
        if is_cut or self.trouble == 'resets connections':
            request.transport.abort()
            raise ConnectionResetError
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1_000)
        transport = request.transport
        answer = await self._apply_trouble(request, handler)
        if transport in self._silent:
            await asyncio.sleep(NO_ANSWER_S)
        if self.faults.bytes_per_s:
            return await self._send_slowly(request, answer)
        return answer

    async def _send_slowly(self, request, answer):
        """Send an answer in chunks at the rate of a slow link."""
        body = answer.body
        stream = web.StreamResponse(status=answer.status)
        stream.content_length = len(body)
        await stream.prepare(request)
        for first in range(0, len(body), CHUNK_BYTES):
            if first >= len(body) * self.faults.arrives:
                await asyncio.sleep(NO_ANSWER_S)
            part = body[first : first + CHUNK_BYTES]
            await asyncio.sleep(len(part) / self.faults.bytes_per_s)
            await stream.write(part)
        await stream.write_eof()
        return stream

    async def _apply_trouble(self, request, handler):
        """Answer a request, with the failure that ``trouble`` names."""
        if self.trouble == 'sends broken documents':
            return web.Response(body=MALFORMED_BODY)
        elif self.trouble in TROUBLE_STATUSES:
            status = TROUBLE_STATUSES[self.trouble]
            if status is None:
                await asyncio.sleep(NO_ANSWER_S)
            return web.Response(status=status)
        elif self.trouble == 'is slow':
            await asyncio.sleep(SLOW_S)
        answer = await handler(request)
        if self.trouble == 'loses answers':
            await asyncio.sleep(NO_ANSWER_S)
        is_write = request.method != 'GET'
        if is_write and answer.status < 400 and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            request.transport.abort()
            raise ConnectionResetError
        return answer

    def silence(self) -> None:
        """Never answer again on the connections that are open now."""
        self._silent |= self._transports

    # Changes

    async def write(self, kind: str, name: str, spec) -> Stored:
        """Create or replace an object unconditionally."""
        known = self.objects.get((kind, name))
        created = known.created_revision if known else self.revision + 1
        stored = Stored(kind, name, spec, self.revision + 1, created)
        self.objects[kind, name] = stored
        await self._record_change(stored, False)
        return stored

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object, whatever its finalizers."""
        stored = self.objects.pop((kind, name))
        stored.revision = self.revision + 1
        await self._record_change(stored, True)

    async def _record_change(self, stored, is_gone):
        async with self._changed:
            self.revision += 1
            event = {'object': stored.document(), 'tombstone': is_gone}
            self.history.append((self.revision, stored.kind, event))
            if self.faults.forgets:
                self.forget()
            self._changed.notify_all()

    def forget(self) -> None:
        """Drop the history of changes; older watches get HTTP 410."""
        self.history.clear()
        self.first_kept = self.revision

    def freeze_stale_reads(self) -> None:
        """Answer stale reads with the present state from now on."""
        self.stale_state = self.revision, dict(self.objects)

    # Reads

    async def list_kind(self, request):
        """List a kind, or wait for its changes if ``watch`` is given."""
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(request, kind)
        after = request.query.get('after', '')
        self.listed[kind] += 1
        revision, objects = self.revision, self.objects
        if self.stale_state and request.query.get('allow_stale') == '1':
            revision, objects = self.stale_state
        names = sorted(
            name for one, name in objects if one == kind and name > after
        )
        page = names[:PAGE_ITEMS]
        items = [objects[kind, name].document() for name in page]
        return web.json_response(
            {
                'items': items,
                'more_pages': len(names) > len(page),
                'current_rev': revision,
            }
        )

    async def _watch(self, request, kind):
        since = int(request.query['watch'])
        wait_s = int(request.query['wait_ms']) / 1_000
        if since < self.first_kept:
            return web.Response(status=HTTP_GONE)
        self.watching[request.remote] += 1
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        since < self.first_kept or self._events(kind, since)
                    )
                )
        except TimeoutError:
            pass
        finally:
            self.watching[request.remote] -= 1
        if since < self.first_kept:
            return web.Response(status=HTTP_GONE)
        return web.json_response(
            {
                'events': self._events(kind, since),
                'current_rev': self.revision,
            }
        )

    def _events(self, kind, since):
        return [
            event
            for revision, one, event in self.history
            if one == kind and revision > since
        ]

    async def get_one(self, request):
        """Return one object."""
        stored = self._find(request)
        return web.json_response(stored.document())

    def _find(self, request):
        key = request.match_info['kind'], request.match_info['name']
        if key not in self.objects:
            raise web.HTTPNotFound()
        return self.objects[key]

    # Writes

    async def create(self, request):
        """Create an object; answer with a conflict if it exists."""
        kind = request.match_info['kind']
        document = await request.json()
        name = document['meta']['name']
        if (kind, name) in self.objects:
            return self._conflict(self.objects[kind, name])
        stored = await self.write(kind, name, document.get('spec'))
        stored.finalizers = document['meta'].get('finalizers', [])
        return web.json_response(stored.document())

    async def replace(self, request):
        """Replace spec and finalizers if the revision is still current."""
        stored = self._find(request)
        document = await request.json()
        meta = document.get('meta') or {}
        if meta.get('revision', stored.revision) != stored.revision:
            return self._conflict(stored)
        finalizers = meta.get('finalizers', stored.finalizers)
        is_same = (stored.spec, stored.finalizers) == (
            document.get('spec'),
            finalizers,
        )
        if not is_same:
            stored.spec = document.get('spec')
            stored.finalizers = finalizers
            await self._update(stored)
        return web.json_response(stored.document())

    async def set_status(self, request):
        """Replace the status."""
        stored = self._find(request)
        document = await request.json()
        if stored.status != document.get('status'):
            stored.status = document.get('status')
            await self._update(stored)
        return web.json_response(stored.document())

    async def _update(self, stored):
        stored.revision = self.revision + 1
        await self._record_change(stored, False)

    async def delete(self, request):
        """Remove an object, or mark it as deleting if it has finalizers."""
        stored = self._find(request)
        wanted = int(request.query.get('revision', stored.revision))
        if wanted != stored.revision:
            return self._conflict(stored)
        if stored.finalizers:
            stored.is_deleting = True
            await self._update(stored)
        else:
            await self.remove(stored.kind, stored.name)
        return web.json_response(stored.document())

    # Control by tests

    async def put_instance(self, request):
        """Write an instance to the list after ``instance_lag_ms``."""
        entry = await request.json()
        self._apply_later(
            lambda name: self.write(INSTANCE_KIND, name, entry), request
        )
        return web.json_response({})

    async def delete_instance(self, request):
        """Remove an instance from the list after ``instance_lag_ms``."""
        self._apply_later(self._remove_instance, request)
        return web.json_response({})

    async def _remove_instance(self, name):
        if (INSTANCE_KIND, name) in self.objects:
            await self.remove(INSTANCE_KIND, name)

    def _apply_later(self, change, request):
        name = request.match_info['name']
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.faults.instance_lag_ms / 1_000,
            lambda: self._spawn(change(name)),
        )

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def set_faults(self, request):
        """Set the faults that the request names."""
        for key, value in (await request.json()).items():
            setattr(self.faults, key, value)
        return web.json_response({})

    async def get_calls(self, _request):
        """Return the number of calls per client address."""
        return web.json_response(dict(self.calls))

    @staticmethod
    def _conflict(stored):
        return web.json_response(stored.document(), status=HTTP_CONFLICT)


class StoreThread:
    """Runs a store on an address, in a thread with its own event loop."""

    def __init__(self, ip: str, port: int):
        self.address = f'{ip}:{port}'
        self.store = None
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(
            target=self._run, args=(ip, port), daemon=True
        )
        self._thread.start()
        self._ready.wait(10)

    def _run(self, ip, port):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._serve(ip, port))
        self._loop.run_forever()

    async def _serve(self, ip, port):
        self.store = Store()
        runner = web.AppRunner(self.store.application(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, ip, port).start()
        self._ready.set()

    def call(self, coroutine):
        """Run a coroutine of the store in its thread; return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(10)

    def write(self, kind: str, name: str, spec) -> None:
        """Create or replace an object."""
        self.call(self.store.write(kind, name, json.loads(json.dumps(spec))))

    def stop(self) -> None:
        """Stop the event loop and the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


async def serve(ip: str, port: int) -> None:
    """Serve until cancelled."""
    runner = web.AppRunner(Store().application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, ip, port).start()
    print(json.dumps({'ready': 'platform'}), flush=True)
    await asyncio.Event().wait()


def main():
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True, metavar='IP:PORT')
    options = parser.parse_args()
    ip, _separator, port = options.listen.rpartition(':')
    try:
        asyncio.run(serve(ip, int(port)))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == '__main__':
    main()
