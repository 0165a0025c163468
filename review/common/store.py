"""The platform's store: objects by kind, lists, watches, stale reads."""

import asyncio
from http import HTTPStatus
import json
import time
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

ANSWER_S = 0.004
PAGE = 500
SILENCE_S = 600.0
LONG_WAIT_MS = 1_000


class Store:
    """A store; ``stale_s`` is how old the answers to stale reads are.

    ``cut_s`` is the time after which a watch that waits is cut; None: never.
    """

    def __init__(self, record, stale_s=0.0):
        self.record = record
        self.stale_s = stale_s
        self.cut_s = None
        self.cuts = 0
        # Addresses here whose callers get no answers.
        self.silent = set()
        # Addresses here at which a watch of the endpoints waits now.
        self.readers = set()
        self.objects = {}
        self.history = []
        self.revision = 0
        self.states = [(0.0, 0, {})]
        self._changed = asyncio.Condition()
        self._server = None

    async def start(self, ips, port):
        """Listen for calls; each caller has an address of its own."""
        self._server = await asyncio.start_server(self._serve, ips, port)

    def close(self):
        """Stop to listen."""
        self._server.close()

    async def put(self, kind, name, spec):
        """Write an object; return the time of the acknowledgement."""
        before = self.objects.get((kind, name))
        if before is not None and before['spec'] == spec:
            return time.monotonic()
        self.revision += 1
        created = before['meta']['created_rev'] if before else self.revision
        meta = {
            'name': name,
            'revision': self.revision,
            'created_rev': created,
            'finalizers': [],
            'deleting': False,
        }
        one = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind, name] = one
        return await self._note(kind, one, False)

    async def remove(self, kind, name):
        """Remove an object; return the time of the acknowledgement."""
        one = self.objects.pop((kind, name))
        self.revision += 1
        one = {**one, 'meta': {**one['meta'], 'revision': self.revision}}
        return await self._note(kind, one, True)

    async def _note(self, kind, one, is_gone):
        event = {'object': one, 'tombstone': is_gone}
        self.history.append((self.revision, kind, event))
        now = time.monotonic()
        self.states.append((now, self.revision, dict(self.objects)))
        async with self._changed:
            self._changed.notify_all()
        return now

    async def _serve(self, reader, writer):
        caller = writer.get_extra_info('sockname')[0]
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                _method, target, _version = head.split(b' ', 2)
                answer = await self._answer(target.decode(), caller)
                if caller in self.silent:
                    # This connection says nothing further.
                    await asyncio.sleep(SILENCE_S)
                if answer is None:
                    # A watch that waits is cut.
                    self.cuts += 1
                    break
                status, document = answer
                body = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'.encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The caller is gone, or the case ends.
            pass
        finally:
            writer.close()

    async def _answer(self, target, caller):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        kind = unquote(parts.path.removeprefix('/objects/'))
        if 'watch' in query:
            if kind != 'servers' or int(query['wait_ms']) < LONG_WAIT_MS:
                return await self._watch(kind, query)
            self.readers.add(caller)
            try:
                return await self._watch(kind, query)
            finally:
                self.readers.discard(caller)
        await asyncio.sleep(ANSWER_S)
        revision, objects = self.revision, self.objects
        if query.get('allow_stale') == '1' and self.stale_s:
            limit = time.monotonic() - self.stale_s
            states = [one for one in self.states if one[0] <= limit]
            _at, revision, objects = states[-1]
        after = query.get('after', '')
        names = sorted(
            name for one, name in objects if one == kind and name > after
        )
        return 200, {
            'items': [objects[kind, name] for name in names[:PAGE]],
            'more_pages': len(names) > PAGE,
            'current_rev': revision,
        }

    def _events(self, kind, since):
        return [
            event
            for revision, one, event in self.history
            if one == kind and revision > since
        ]

    async def _watch(self, kind, query):
        since = int(query['watch'])
        wait_s = int(query['wait_ms']) / 1000
        is_cut = self.cut_s is not None and self.cut_s < wait_s
        limit_s = self.cut_s if is_cut else wait_s
        try:
            async with asyncio.timeout(limit_s), self._changed:
                await self._changed.wait_for(lambda: self._events(kind, since))
        except TimeoutError:
            if is_cut:
                return None
        await asyncio.sleep(ANSWER_S)
        return 200, {
            'events': self._events(kind, since),
            'current_rev': self.revision,
        }
