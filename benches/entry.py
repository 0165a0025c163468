"""Measure the cost of an entry balancer's decisions by number of targets.

Times one second without packets (ticks and checks of the domain's load),
the same with health evidence on each target, and one opening of a flow.
"""

import argparse
import json

from attrs import frozen

from benches.timing import fit_line
from benches.timing import time_calls
from liftmount._internal.decisions import directory
from liftmount._internal.decisions import forwarding
from liftmount._internal.decisions import target_health
from liftmount._internal.decisions.flow_table import domain_loads
from liftmount._internal.decisions.flow_table import ForwardingState
from liftmount._internal.models import flow_messages as flows
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.records import Tick
from liftmount._internal.models.segments import Route
from liftmount._internal.models.segments import RouteKind
from liftmount._internal.models.segments import RouteTable
from liftmount._internal.models.segments import Segment
from liftmount._internal.models.segments import ServiceShare
from liftmount._internal.models.segments import TargetEntry
from liftmount._internal.services.packet_path import OVERFLOW_CHECK_MS
from liftmount._internal.services.packet_path import TICK_MS

TARGETS = (100, 1_000, 3_000, 27_000)
DOMAINS = 7
SERVICES = 20
SECOND_MS = 1_000
SECONDS = 5
OPENINGS = 2_000
# New flows per second at one balancer.
OPENINGS_PER_S = 96
ADDRESS = Endpoint('198.51.100.1', 443)


@frozen
class Cost:
    """Costs at one number of targets."""

    targets: int
    idle_ms_per_s: float
    after_evidence_ms_per_s: float
    opening_us: float


def make_target(number):
    """Return a target; its number selects the domain and service."""
    return TargetEntry(
        name=f'i-{number:x}',
        number=number,
        service=f's{number % SERVICES}',
        endpoint=Endpoint('127.0.0.1', 1 + number % 60_000),
        failure_domain=f'd{number // SERVICES % DOMAINS}',
        slots=2,
    )


class EntryBalancer:
    """The decisions of one balancer with a simulated clock."""

    def __init__(self, targets):
        self.now_ms = SECOND_MS
        self.state = ForwardingState('d0', 60_000)
        self.directory = directory.DirectoryState()
        entries = tuple(make_target(number + 1) for number in range(targets))
        listed = directory.TargetsListed(entries, 1, self.now_ms)
        for action in directory.decide(self.directory, listed):
            put = flows.TargetPut(action.entry, self.now_ms)
            forwarding.decide(self.state, put)
        route = Route(
            'one',
            ADDRESS,
            RouteKind.REPEATABLE,
            (ServiceShare('s0', 1),),
            1,
            100,
        )
        table = RouteTable(1, {ADDRESS: route}, {}, 15_000)
        changed = flows.RoutesChanged(table, self.now_ms)
        forwarding.decide(self.state, changed)
        settled = flows.TargetsSettled(self.now_ms)
        forwarding.decide(self.state, settled)

    def run_second(self, _index=0):
        """Run the periodic work of the packet service for one second."""
        for _ in range(SECOND_MS // TICK_MS):
            self.now_ms += TICK_MS
            tick = Tick(self.now_ms)
            directory.decide(self.directory, tick)
            forwarding.decide(self.state, tick)
            target_health.decide(self.state.health, tick)
            if self.now_ms % OVERFLOW_CHECK_MS == 0:
                domain_loads(self.state, 1, self.now_ms)

    def add_evidence(self):
        """Make each target suspected once, then let it answer a probe."""
        health = self.state.health
        for name in self.state.tags.entries:
            unresponsive = target_health.TargetUnresponsive(name, self.now_ms)
            target_health.decide(health, unresponsive)
            answered = target_health.ProbeResult.ANSWERED
            ended = target_health.ProbeEnded(
                name, answered, self.now_ms, self.now_ms
            )
            target_health.decide(health, ended)

    def open_flow(self, index):
        """Open a flow, and advance the clock by the mean interval."""
        self.now_ms += SECOND_MS // OPENINGS_PER_S
        segment = Segment(
            flow=index.to_bytes(12, 'big'),
            client=Endpoint('192.0.2.1', 1 + index % 60_000),
            address=ADDRESS,
            opens=True,
            closes=False,
            resets=False,
            sequence=0,
            acknowledgement=0,
            length_bytes=0,
            tag=0,
            datagram=b'',
        )
        arrived = flows.SegmentArrived(segment, self.now_ms)
        forwarding.decide(self.state, arrived)


def measure(targets: int) -> Cost:
    """Return the costs at one number of targets."""
    entry = EntryBalancer(targets)
    idle = time_calls(entry.run_second, SECONDS)
    opening = time_calls(entry.open_flow, OPENINGS)
    entry.add_evidence()
    after = time_calls(entry.run_second, SECONDS)
    return Cost(
        targets,
        round(idle.median_us / 1_000, 2),
        round(after.median_us / 1_000, 2),
        round(opening.median_us, 1),
    )


def main(arguments) -> int:
    """Measure all sizes and print the results."""
    argparse.ArgumentParser(description=__doc__).parse_args(arguments)
    costs = [measure(targets) for targets in TARGETS]
    print('targets   idle ms/s   after evidence ms/s   opening us')
    for one in costs:
        print(
            f'{one.targets:7} {one.idle_ms_per_s:11.2f} '
            f'{one.after_evidence_ms_per_s:21.2f} {one.opening_us:12.1f}'
        )
    points = [(one.targets, one.after_evidence_ms_per_s) for one in costs]
    print(json.dumps({'ms_per_s_by_targets': fit_line(points)}))
    return 0
