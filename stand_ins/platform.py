"""Stand-in for the platform: object API and a lagging instance list.

HTTP: ``GET|PUT|DELETE /objects/KEY`` with versions as ETags,
``GET /objects?kinds=``, ``GET /watch?kinds=&since=&wait_ms=`` (long poll),
``GET /instances``.  ``POST /faults`` makes it fail in the ways that the
users describe; ``GET /calls`` counts the calls of each client.
"""

import argparse
import asyncio
from collections import Counter
import json
import sys

from aiohttp import web
from attrs import define
from attrs import Factory

from liftmount._internal.clock import Clock

MAX_VALUE_BYTES = 1_048_576


@define
class Faults:
    """What goes wrong at present.

    ``lose_answers`` counts writes whose answer is lost after the write
    took effect.  ``blocked`` lists client IPs that are cut off.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    skip_watch: bool = False
    instance_lag_ms: int = 500
    blocked: list = Factory(list)


class Platform:
    """Objects with versions from one counter, and who asked for them."""

    def __init__(self):
        self.clock = Clock()
        self.revision = 0
        self.objects = {}
        self.faults = Faults()
        self.changed = asyncio.Condition()
        self.calls = Counter()
        self.instances = {}
        self.visible = {}
        self.instance_revision = 0
        self.history = []

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            middlewares=[self.fail], client_max_size=2 * MAX_VALUE_BYTES
        )
        app.add_routes(
            [
                web.get('/objects', self.list_objects),
                web.get('/objects/{key:.+}', self.get_object),
                web.put('/objects/{key:.+}', self.put_object),
                web.delete('/objects/{key:.+}', self.delete_object),
                web.get('/watch', self.watch),
                web.get('/instances', self.list_instances),
                web.put('/instances/{name:.+}', self.put_instance),
                web.delete('/instances/{name:.+}', self.delete_instance),
                web.post('/faults', self.set_faults),
                web.get('/calls', self.get_calls),
                web.get('/history', self.get_history),
            ]
        )
        return app

    @web.middleware
    async def fail(self, request, handler):
        """Count the call, and let it fail as the faults say."""
        agent = request.headers.get('User-Agent', '')
        if not agent.startswith('liftmount/'):
            return await handler(request)
        if request.remote in self.faults.blocked or self.faults.down:
            request.transport.abort()
            raise ConnectionResetError
        self.calls[agent] += 1
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        response = await handler(request)
        is_write = request.method in ('PUT', 'DELETE')
        if is_write and response.status < 400 and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            request.transport.abort()
            raise ConnectionResetError
        return response

    async def get_object(self, request):
        """Answer with one object."""
        found = self.objects.get(request.match_info['key'])
        if found is None:
            return web.json_response({}, status=404)
        # A deleted object still shows its last version.
        return web.json_response(
            found, headers={'ETag': f'"{found["version"]}"'}
        )

    async def put_object(self, request):
        """Write one object if the condition holds."""
        try:
            value = (await request.json())['value']
        except (json.JSONDecodeError, KeyError, TypeError):
            return web.json_response({'error': 'no value'}, status=400)
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            return web.json_response({'error': 'too large'}, status=413)
        return await self._write(request, value)

    async def delete_object(self, request):
        """Delete one object if the condition holds."""
        return await self._write(request, None)

    async def _write(self, request, value):
        key = request.match_info['key']
        current = self.objects.get(key)
        exists = current is not None and current['value'] is not None
        if request.headers.get('If-None-Match') == '*':
            holds = not exists
        else:
            expected = request.headers.get('If-Match', '').strip('"')
            holds = current is not None and expected == str(current['version'])
        if not holds:
            return web.json_response({'current': current}, status=412)
        self.revision += 1
        written = {'key': key, 'version': self.revision, 'value': value}
        self.objects[key] = written
        self.history.append([self.clock.wall_ms(), key, self.revision])
        async with self.changed:
            self.changed.notify_all()
        return web.json_response({'version': self.revision})

    async def list_objects(self, request):
        """Answer with objects of some kinds, deleted ones too.

        With ``since`` only those with a higher version.
        """
        kinds = request.query.get('kinds', '').split(',')
        with_values = request.query.get('values', '1') == '1'
        since = int(request.query.get('since', '0'))
        found = [
            one if with_values else {k: one[k] for k in ('key', 'version')}
            for key, one in self.objects.items()
            if key.partition('/')[0] in kinds and one['version'] > since
        ]
        return web.json_response({'revision': self.revision, 'objects': found})

    def _newest(self, kinds):
        versions = [
            one['version']
            for key, one in self.objects.items()
            if key.partition('/')[0] in kinds
        ]
        return max(versions, default=0)

    async def watch(self, request):
        """Answer when an object of some kinds is newer than ``since``."""
        kinds = request.query.get('kinds', '').split(',')
        since = int(request.query.get('since', '0'))
        wait_ms = int(request.query.get('wait_ms', '1000'))
        try:
            async with asyncio.timeout(wait_ms / 1000):
                async with self.changed:
                    await self.changed.wait_for(
                        lambda: self._is_news(kinds, since)
                    )
        except TimeoutError:
            pass
        return web.json_response({'revision': self.revision})

    def _is_news(self, kinds, since):
        return not self.faults.skip_watch and self._newest(kinds) > since

    async def list_instances(self, request):
        """Answer with the list as it was a while ago.

        With ``since`` only what changed after that revision; entries that
        were removed have the state ``gone``.
        """
        since = int(request.query.get('since', '0'))
        found = [
            entry
            for revision, entry in self.visible.values()
            if revision > since and (since or entry['state'] != 'gone')
        ]
        return web.json_response(
            {'revision': self.instance_revision, 'instances': found}
        )

    async def put_instance(self, request):
        """Note an instance; the list shows it after the lag."""
        name = request.match_info['name']
        entry = {'name': name, **await request.json()}
        self._show_later(name, entry)
        return web.json_response({})

    async def delete_instance(self, request):
        """Remove an instance; the list shows it for a while longer."""
        self._show_later(request.match_info['name'], None)
        return web.json_response({})

    def _show_later(self, name, entry):
        loop = asyncio.get_running_loop()
        lag = self.faults.instance_lag_ms / 1000
        loop.call_later(lag, self._show, name, entry)

    def _show(self, name, entry):
        self.instance_revision += 1
        if entry is None:
            known = self.visible.get(name, (0, {'name': name}))[1]
            gone = {'failure_domain': '', 'role': '', **known}
            entry = {**gone, 'state': 'gone'}
        self.visible[name] = (self.instance_revision, entry)

    async def set_faults(self, request):
        """Change what goes wrong."""
        for key, value in (await request.json()).items():
            setattr(self.faults, key, value)
        return web.json_response({})

    async def get_calls(self, _request):
        """Answer with the number of calls of each client."""
        return web.json_response(dict(self.calls))

    async def get_history(self, _request):
        """Answer with when each version was written."""
        return web.json_response(self.history)


async def serve(ip: str, port: int) -> None:
    """Serve until cancelled."""
    platform = Platform()
    runner = web.AppRunner(platform.application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, ip, port).start()
    print(json.dumps({'ready': 'platform'}), flush=True)
    await asyncio.Event().wait()


def main():
    """Run the stand-in."""
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
