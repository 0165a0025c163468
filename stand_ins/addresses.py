"""Loopback addresses and ports that are separate for each run."""

import os

from attrs import frozen

RUNS_BY_IP = 96
RUNS_BY_PORT = 100
FIRST_NET = 32
FIRST_PORT = 20_000
PORTS_PER_RUN = 100
FIRST_DOMAIN = 1
LINK_GROUP = 100
CALLER_GROUP = 150
SERVICE_GROUP = 200
OUTSIDE_GROUP = 250


@frozen
class RunAddresses:
    """Addresses 127.NET.GROUP.HOST and a range of ports for one run.

    They follow from the id of the process that starts the run, so that
    concurrent runs do not collide.
    """

    net: int
    first_port: int

    def ip(self, group: int, host: int) -> str:
        """Return the IP address of a host in a group."""
        return f'127.{self.net}.{group}.{host}'

    def address(self, group: int, host: int, port: int = 0) -> str:
        """Return ``IP:PORT``; ``port`` is an offset in the run's range."""
        return f'{self.ip(group, host)}:{self.first_port + port}'


def make_run_addresses(run: int | None = None) -> RunAddresses:
    """Return the addresses of run number ``run``, by default the pid."""
    number = os.getpid() if run is None else run
    block = number // RUNS_BY_IP % RUNS_BY_PORT
    return RunAddresses(
        FIRST_NET + number % RUNS_BY_IP,
        FIRST_PORT + block * PORTS_PER_RUN,
    )
