"""Balancer processes that the soak starts and stops."""

import asyncio
from collections.abc import Iterable
import os
from pathlib import Path
import signal

import tomli_w

from liftmount._internal.clock import seconds
from liftmount._internal.models.addresses import Endpoint
from liftmount.platform.launcher import DEPENDENCIES
from liftmount.platform.launcher import PROGRAM
from soak.promises import GRACE_MS
from stand_ins.programs import balancer_command


class Balancer:
    """One balancer: settings, process and log."""

    def __init__(
        self, name, domain, ip, ports, seeds, store, directory, bundle
    ):
        self.name = name
        self._bundle = bundle
        self.domain = domain
        self.ip = ip
        self.packets = Endpoint(ip, ports.packets)
        self.ready = Endpoint(ip, ports.ready)
        self.directory: Path = directory / name
        self.directory.mkdir()
        self.log_path = self.directory / 'log'
        self.process = None
        self.is_exit_expected = False
        self._starting = asyncio.Lock()
        self.settings = {
            'node_name': name,
            'zone': domain,
            'ephemeral_ports': [ports.peer, ports.peer],
            'seeds': [f'{seed}:{ports.peer}' for seed in seeds],
            'listen': {
                'packets': str(self.packets),
                'ready': str(self.ready),
            },
            'bounds': {'grace_s': GRACE_MS // 1_000, 'max_flow_s': 60},
            'platform': {'address': str(store)},
        }
        self.write_settings()

    @property
    def path(self) -> Path:
        """Return the path of the settings file."""
        return self.directory / 'settings.toml'

    def write_settings(self, text: str | None = None) -> None:
        """Replace the settings file atomically, by ``text`` if given."""
        part = self.path.with_suffix('.new')
        part.write_text(text or tomli_w.dumps(self.settings))
        part.rename(self.path)

    async def start(self) -> None:
        """Start the process unless one is running."""
        async with self._starting:
            if not self.is_running:
                await self._start()

    def _command(self):
        """Return the command of the bundle or of the source tree."""
        if self._bundle is None:
            return balancer_command(str(self.packets))
        return balancer_command(str(self.packets), self._bundle / PROGRAM)

    def _environment(self):
        environment = dict(os.environ, LIFTMOUNT_CONFIG=str(self.path))
        if self._bundle is not None:
            environment['PYTHONPATH'] = str(self._bundle / DEPENDENCIES)
        return environment

    async def _start(self):
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command(),
                env=self._environment(),
                stdout=log,
                stderr=log,
            )
        self.is_exit_expected = False

    @property
    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def handles(self, number: signal.Signals) -> bool:
        """Tell whether the process ignores a signal or has a handler."""
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return False
        handled = 0
        for field in ('SigIgn:', 'SigCgt:'):
            handled |= int(text.partition(field)[2].split()[0], 16)
        return bool(handled & 1 << (number - 1))

    async def send_series(self, numbers: Iterable, gap_ms: int) -> None:
        """Send signals to the process, until their end or its exit."""
        if not self.is_running:
            return
        try:
            # Process.send_signal would reap the process before asyncio does.
            process = os.pidfd_open(self.process.pid)
        except ProcessLookupError:
            return
        try:
            for number in numbers:
                signal.pidfd_send_signal(process, number)
                await asyncio.sleep(seconds(gap_ms))
        except ProcessLookupError:
            return
        finally:
            os.close(process)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.is_exit_expected = True
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MiB."""
        try:
            statm = Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0.0
        return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 2**20
