"""A small deployment: balancers by the deploy file, and what is around."""

import asyncio
from contextlib import ExitStack
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from common.clients import Host
from common.clients import Router
from common.endpoint import Endpoint
from common.store import Store

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_MS = 770
LIMIT_S = 110.0
STATUS_HELD, STATUS_BROKEN, STATUS_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes lines to ``record.txt`` in the folder of the case."""

    def __init__(self, path):
        self._file = path.open('w')
        self._start = time.monotonic()

    def __call__(self, event, **fields):
        """Write one line."""
        at = time.monotonic() - self._start
        rest = ' '.join(f'{k}={v}' for k, v in fields.items())
        self._file.write(f'{at:9.3f} {event} {rest}\n'.rstrip() + '\n')
        self._file.flush()


class Balancer:
    """A balancer's settings and process."""

    def __init__(self, deployment, number, zone, ip):
        self.name = f'frontend-{zone}-{number}'
        self.zone = zone
        self.ip = ip
        # Where the store listens for this balancer alone.
        self.store_ip = ''
        self.ports = deployment.ports
        self.path = deployment.folder / f'{self.name}.json'
        self.log = (deployment.folder / f'{self.name}.log').open('ab')
        self.process = None
        self._deployment = deployment

    def _write_settings(self):
        settings = self._deployment.settings(self)
        # True only at the first start of the whole system.
        settings['bootstrap'] = self.process is None
        self.path.write_text(json.dumps(settings))

    async def start(self):
        """Start the process with the command of the deploy file."""
        self._write_settings()
        command = self._deployment.command(self)
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LIFTMOUNT_CONFIG': str(self.path),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            },
            stdout=self.log,
            stderr=self.log,
        )
        self._deployment.record('start', balancer=self.name)

    async def stop(self):
        """Send SIGTERM and wait for the end."""
        self._deployment.record('SIGTERM', balancer=self.name)
        self.process.send_signal(signal.SIGTERM)
        status = await self.process.wait()
        self._deployment.record('ended', balancer=self.name, status=status)

    async def kill(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


class Deployment:
    """Balancers, endpoints, store, router and clients of a case.

    ``zones`` maps zones to the number of their balancers; the clients are in
    the first one.  Each endpoint works on ``slots`` requests at once.
    """

    def __init__(self, case, zones, stale_s, slots):
        self.slots = slots
        self.is_troubled = os.environ.get('TROUBLE', '1') != '0'
        self.case = Path(case).resolve().parent
        self.record = Record(self.case / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = zones
        self.net = random.randint(10, 250), random.randint(1, 250)
        self.ports = self._free_ports()
        self.store = Store(self.record, stale_s)
        self.balancers = []
        self.endpoints = []
        self.routes = []
        self.services = []
        self.version = 0
        self._tasks = set()
        for zone, count in zones.items():
            for number in range(count):
                ip = self.ip(10 + len(self.balancers))
                one = Balancer(self, number + 1, zone, ip)
                one.store_ip = self.ip(50 + len(self.balancers))
                self.balancers.append(one)
        self.router = Router(self.balancers, next(iter(zones)))
        self.host = Host(
            self.record, self.ip(200), self.ports['packets'], self.router
        )

    def ip(self, host):
        """Return a loopback address."""
        return f'127.{self.net[0]}.{self.net[1]}.{host}'

    def _free_ports(self):
        names = ('packets', 'ready', 'control', 'peer', 'store', 'endpoint')
        with ExitStack() as held:
            found = {}
            for name in names:
                probe = held.enter_context(socket.socket())
                probe.bind((self.ip(1), 0))
                found[name] = probe.getsockname()[1]
        return found

    def command(self, balancer):
        """Return the command of the deploy file for a balancer."""
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        run = tomllib.loads(text)['roles']['balancer']['run']
        packets = f'{balancer.ip}:{balancer.ports["packets"]}'
        return run.replace('{{listen.packets}}', packets).split()

    def settings(self, balancer):
        """Return the settings of a small deployment."""
        listen = {
            name: f'{balancer.ip}:{self.ports[name]}'
            for name in ('packets', 'ready', 'control')
        }
        seeds = [
            f'{one.ip}:{self.ports["control"]}' for one in self.balancers[:3]
        ]
        return {
            'node_name': balancer.name,
            'role': 'balancer',
            'machine_class': 'frontend',
            'serves': ['frontend', 'control'],
            'ip': balancer.ip,
            'zone': balancer.zone,
            'region': 'bagmati',
            'ephemeral_ports': [self.ports['peer'], self.ports['peer']],
            'seeds': seeds,
            'loss_counts': False,
            'discovery': 'platform',
            'entry': 'announce',
            'heartbeat_ms': HEARTBEAT_MS,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'flows',
                'platform',
            ],
            'hash': 'steady',
            'forwarding': 'echo',
            'zones': dict.fromkeys(self.zones, 'bagmati'),
            'listen': listen,
            'limits': {
                'cpu_share': 0.236,
                'cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': {
                'seed_lag_s': 3,
                'reuse_after_s': 2,
                'contact_ms': 4000,
                'ack_ms': 5000,
                'catch_up_s': 4,
                'drain_ms': 3000,
                'grace_s': 6,
                'loss_slack_ms': 200,
                'config_ms': 3000,
                'rollback_slack_ms': 250,
                'outer_ms': 12000,
                'recovery_s': 12,
                'flow_ms': 2000,
                'max_flow_s': 60,
            },
            'platform': {
                'address': f'{balancer.store_ip}:{self.ports["store"]}',
                'forwarding': 'objects',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
        }

    def spawn(self, coroutine):
        """Run a coroutine until the end of the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Writes to the store

    def add_route(self, service):
        """Return the address of a new route; ``configure`` writes it."""
        route = (self.ip(220 + len(self.routes)), 8443)
        self.routes.append((route, service))
        if service not in self.services:
            self.services.append(service)
        return route

    async def configure(self):
        """Write a new version; return the time of its acknowledgement."""
        self.version += 3
        spec = {
            'version': self.version,
            'routes': [
                {
                    'name': f'r-{index}',
                    'host': route[0],
                    'path_prefix': f'/{route[1]}/',
                    'type': 'non_idempotent',
                    'timeout_ms': 3000,
                    'target_latency_ms': 250,
                    'priority': 1,
                    'backend': service,
                    'max_attempts': 2,
                }
                for index, (route, service) in enumerate(self.routes)
            ],
            'backends': [
                {
                    'name': service,
                    'health_check_path': '/health',
                    'max_connections': 2000,
                    'protocol': 'h1',
                    'tls': False,
                }
                for service in self.services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
        acked = await self.store.put('config', 'main', spec)
        self.record(
            'config acked', version=self.version, routes=len(self.routes)
        )
        return acked

    async def add_endpoint(self, service, zone):
        """Start an endpoint and write its entry."""
        number = 0x10A00001 + 0x1111 * len(self.endpoints)
        ip = self.ip(100 + len(self.endpoints))
        address = (ip, self.ports['endpoint'])
        one = Endpoint(self, number, service, zone, address)
        await one.start()
        self.endpoints.append(one)
        await self.store.put('servers', one.name, one.entry())
        return one

    # Start and end

    async def start(self):
        """Start the store and the router, then all balancers."""
        ips = [one.store_ip for one in self.balancers]
        await self.store.start(ips, self.ports['store'])
        await self.host.start()

    async def start_balancers(self, settle_s=8.0):
        """Start all balancers; return when they are in and settled."""
        if not (ROOT / 'target' / 'balancer').exists():
            raise CaseError('the build of the deploy file is missing')
        for one in self.balancers:
            await one.start()
        self.spawn(self.router.run())
        self.spawn(self.host.run())
        await self.wait_in(self.balancers)
        await asyncio.sleep(settle_s)

    async def wait_in(self, balancers, limit_s=15.0):
        """Wait until the router uses balancers."""
        until = time.monotonic() + limit_s
        while not all(self.router.is_in(one) for one in balancers):
            if time.monotonic() > until:
                raise CaseError('the balancers are not ready')
            await asyncio.sleep(0.02)

    async def close(self):
        """End all processes and sockets."""
        for one in self.balancers:
            await one.kill()
        for task in list(self._tasks):
            task.cancel()
        for one in self.endpoints:
            one.end()
        self.host.close()
        self.store.close()
        if os.environ.get('KEEP') == '1':
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, play, zones, stale_s=0.0, slots=2):
    """Play a case; exit with 1 if it broke its rule, 0 if not, else 2.

    ``play(deployment)`` returns a list of what broke the rule.
    """

    async def run():
        deployment = Deployment(case, zones, stale_s, slots)
        try:
            async with asyncio.timeout(LIMIT_S):
                await deployment.start()
                broken = await play(deployment)
        finally:
            await deployment.close()
        for line in broken:
            deployment.record('BROKEN', what=line)
        deployment.record('result', broken=len(broken))
        print(f'{len(broken)} breaks; first: {broken[:1]}')
        return STATUS_BROKEN if broken else STATUS_HELD

    try:
        status = asyncio.run(run())
    except (CaseError, OSError, TimeoutError) as error:
        print(f'the case could not run: {error!r}')
        status = STATUS_NOT_RUN
    sys.exit(status)
