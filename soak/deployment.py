"""Deployment of one run: real balancers, simulated surroundings."""

import asyncio
from pathlib import Path
import random
import signal

from aiohttp import web
from attrs import define
from attrs import frozen

from liftmount._internal.clock import Clock
from liftmount._internal.clock import seconds
from liftmount._internal.models.addresses import Endpoint
from soak import clients
from soak import promises
from soak.clients import Load
from soak.clients import RequestKind
from soak.processes import Balancer
from soak.proxy import Proxy
from soak.routers import RoutedBalancer
from soak.routers import Routers
from soak.targets import Target
from soak.targets import TargetState
from stand_ins.addresses import make_run_addresses
from stand_ins.store import Store

DOMAINS = ('a', 'b', 'c')
GUIDE = 'guide'
TILES = 'tiles'
TARGETS_PER_DOMAIN = {GUIDE: 2, TILES: 1}
# Per failure domain: number of clients, and the load of each.
LOADS = (
    (5, Load(RequestKind.STREAM, GUIDE, 30, 3_000, 250)),
    (5, Load(RequestKind.AT_MOST_ONCE, GUIDE, 40, 400, 400)),
    (2, Load(RequestKind.DOWNLOAD, TILES, 8, 20_000, 500)),
)
# Groups of loopback addresses, see ``RunAddresses``.
BALANCER_GROUP = 1
TARGET_GROUP = 20
TARGET_PROXY_GROUP = 21
CLIENT_GROUP = 30
STORE_GROUP = 40
STORE_PROXY_GROUP = 41
ROUTE_GROUP = 200
# Ports, as offsets from the first port of the run.
PACKETS, READY, PEER, STORE, TARGET, ROUTE = range(6)
SEED_COUNT = 3
TICK_INTERVAL_MS = 20
READY_TIMEOUT_MS = 15_000
POLL_INTERVAL_MS = 50


@frozen
class Ports:
    """Ports that are the same for all balancers of a run."""

    packets: int
    ready: int
    peer: int


@frozen
class Size:
    """Duration of the fault phase, and balancers per failure domain.

    ``bundle`` is a directory built by ``bundling``; with it balancers run
    from the bundle instead of the source tree.
    """

    length_ms: int = 20_000
    balancers: int = 4
    bundle: Path | None = None


@define(eq=False)
class TargetHost:
    """A target address, the proxy in front of it, and its target."""

    proxy: Proxy
    domain: str
    target: Target


class Deployment:
    """Balancers, clients, targets, routers and store of one run."""

    def __init__(self, seed: int, size: Size, directory: Path):
        self.size = size
        self.directory = directory
        self.clock = Clock()
        self.random = random.Random(seed)
        self.disturbances = promises.Disturbances()
        self.checker = promises.PromiseChecker(self.clock, self.disturbances)
        self.addresses = make_run_addresses()
        self.client_port = self._port(PACKETS)
        self.store = Store()
        self.target_hosts = []
        self.store_proxies = []
        self.balancers = []
        self.routers = None
        self.version = 1
        self.active_troubles = 0
        self.routes = {}
        self.added_routes = []
        self.lag_ms = 0
        self.client_hosts = []
        self._tasks = set()
        self._last_target_number = 0x1000
        self._runner = None

    def _port(self, offset):
        return self.addresses.first_port + offset

    def _endpoint(self, group, host, port):
        return Endpoint(self.addresses.ip(group, host), self._port(port))

    # Start and stop

    async def start(self) -> None:
        """Start all parts and wait until the balancers are ready.

        Raise TimeoutError if they do not become ready in time.
        """
        await self._start_store()
        for domain in DOMAINS:
            for service, count in TARGETS_PER_DOMAIN.items():
                for _ in range(count):
                    await self.add_target_host(service, domain)
        self.add_route(GUIDE)
        self.add_route(TILES)
        await self.write_configuration()
        self._make_balancers()
        for balancer in self.balancers:
            await balancer.start()
        self.spawn(self.routers.run())
        self.spawn(self._tick_forever())
        await self._wait_ready()
        await self._start_clients()

    async def _start_store(self):
        address = self._endpoint(STORE_GROUP, 1, STORE)
        self._runner = web.AppRunner(
            self.store.application(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, address.ip, address.port).start()
        count = len(DOMAINS) * self.size.balancers
        for host in range(1, count + 1):
            listen = self._endpoint(STORE_PROXY_GROUP, host, STORE)
            proxy = Proxy(listen, address)
            await proxy.start(with_udp=False)
            self.store_proxies.append(proxy)

    async def add_target_host(self, service: str, domain: str) -> None:
        """Start a target at a new address."""
        host = len(self.target_hosts) + 1
        listen = self._endpoint(TARGET_GROUP, host, TARGET)
        address = self._endpoint(TARGET_PROXY_GROUP, host, TARGET)
        proxy = Proxy(address, listen)
        await proxy.start(with_udp=True)
        target_host = TargetHost(proxy, domain, None)
        self.target_hosts.append(target_host)
        await self.new_target(target_host, service)

    async def new_target(self, target_host: TargetHost, service: str) -> None:
        """Start a new target at an address."""
        self._last_target_number += 1
        await self._start_target(
            target_host, self._last_target_number, service
        )

    async def restart_target(self, target_host: TargetHost) -> None:
        """Start a target that has ended again, under the same name."""
        ended = target_host.target
        await self._start_target(target_host, ended.number, ended.service)

    async def _start_target(self, target_host, number, service):
        target_host.target = Target(
            number,
            service,
            target_host.domain,
            target_host.proxy.forward,
            target_host.proxy.listen,
            self,
        )
        await target_host.target.start()
        await self.write_entry(target_host.target)

    def _make_balancers(self):
        ports = Ports(*map(self._port, (PACKETS, READY, PEER)))
        hosts = range(1, len(self.store_proxies) + 1)
        ips = [self.addresses.ip(BALANCER_GROUP, host) for host in hosts]
        for index, ip in enumerate(ips):
            domain = DOMAINS[index // self.size.balancers]
            balancer = Balancer(
                f'balancer-{index + 1}',
                domain,
                ip,
                ports,
                ips[:SEED_COUNT],
                self.store_proxies[index].listen,
                self.directory,
                self.size.bundle,
            )
            self.balancers.append(balancer)
            self.checker.balancer_names[ip] = balancer.name
        self.routers = Routers(
            [
                RoutedBalancer(one.name, one.domain, one.packets, one.ready)
                for one in self.balancers
            ]
        )

    async def _wait_ready(self):
        until_ms = self.clock.now_ms() + READY_TIMEOUT_MS
        while not all(
            balancer.is_healthy for balancer in self.routers.balancers
        ):
            if self.clock.now_ms() > until_ms:
                raise TimeoutError('balancers did not become ready')
            await asyncio.sleep(seconds(POLL_INTERVAL_MS))

    async def _start_clients(self):
        for number, domain in enumerate(DOMAINS, 1):
            address = self._endpoint(CLIENT_GROUP, number, PACKETS)
            host = clients.ClientHost(domain, address, self)
            await host.start()
            self.client_hosts.append(host)
            for count, load in LOADS:
                route = self._route_of(load.service)
                for index in range(count):
                    name = f'{domain}-{load.kind.name}-{index}'
                    client = clients.Client(
                        name, host, load, route, self.checker
                    )
                    self.spawn(client.run())

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a task that the end of the run cancels."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.checker.report_breach(
                'the soak itself works', repr(task.exception())
            )

    async def stop(self) -> None:
        """Stop all parts of the run."""
        for task in list(self._tasks):
            task.cancel()
        for balancer in self.balancers:
            balancer.send(signal.SIGCONT)
            await balancer.kill()
        for host in self.client_hosts:
            host.close()
        for target_host in self.target_hosts:
            if target_host.target.state is not TargetState.ENDED:
                target_host.target.end()
            target_host.proxy.close()
        for proxy in self.store_proxies:
            proxy.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _tick_forever(self):
        due_ms = self.clock.now_ms()
        while True:
            now_ms = self.clock.now_ms()
            self.lag_ms = max(self.lag_ms, now_ms - due_ms)
            self.checker.record_lag(now_ms, now_ms - due_ms)
            for host in self.client_hosts:
                host.tick(now_ms)
            for target_host in self.target_hosts:
                if target_host.target is not None:
                    target_host.target.tick(now_ms)
            self._check_processes()
            due_ms = now_ms + TICK_INTERVAL_MS
            await asyncio.sleep(seconds(TICK_INTERVAL_MS))

    def _check_processes(self):
        for balancer in self.balancers:
            if balancer.process is None or balancer.is_running:
                continue
            if not balancer.is_exit_expected:
                balancer.is_exit_expected = True
                self.checker.report_breach(
                    'no process ends by itself',
                    f'{balancer.name}: status {balancer.process.returncode}',
                )

    # Writes of operators and targets to the store

    async def _wait_for_store(self):
        while self.store.trouble:
            await asyncio.sleep(seconds(POLL_INTERVAL_MS))

    async def write_entry(self, target) -> None:
        """Write the entry of a target unless the target has ended."""
        await self._wait_for_store()
        if target.state is not TargetState.ENDED:
            await self.store.write('servers', target.name, target.entry())

    async def remove_entry(self, target) -> None:
        """Remove the entry of a target."""
        await self._wait_for_store()
        if ('servers', target.name) in self.store.objects:
            await self.store.remove('servers', target.name)

    def add_route(self, service: str) -> Endpoint:
        """Add a route; the next configuration contains it."""
        host = len(self.routes) + 1
        route = self._endpoint(ROUTE_GROUP, host, ROUTE)
        self.routes[route] = service
        number = int.from_bytes(bytes(map(int, route.ip.split('.'))), 'big')
        allowed = self.checker.route_services.setdefault(
            (number, route.port), set()
        )
        allowed.add(service)
        return route

    def _route_of(self, service):
        return next(k for k, one in self.routes.items() if one == service)

    async def write_configuration(self) -> None:
        """Write the routes as a new version once the store answers."""
        await self._wait_for_store()
        # No await between here and the write: versions must rise in the
        # order of the writes.
        self.version += self.random.randint(1, 4)
        document = {
            'version': self.version,
            'routes': [
                {
                    'name': f'route-{index}',
                    'host': route.ip,
                    'path_prefix': f'/{route.port}/',
                    'type': 'idempotent',
                    'backend': service,
                }
                for index, (route, service) in enumerate(self.routes.items())
                if service
            ],
            'backends': [
                {'name': service, 'health_check_path': '/health'}
                for service in TARGETS_PER_DOMAIN
            ],
            'limits': {'idle_timeout_ms': 15_000},
        }
        await self.store.write('config', 'main', document)
