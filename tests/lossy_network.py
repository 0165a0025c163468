"""A simulated network of members that loses and delays datagrams.

Only the decisions of the membership run, on a simulated clock.  A run
depends on nothing but its seed.
"""

import heapq
import itertools
import random

from attrs import define
from attrs import Factory
from attrs import frozen
import cbor2

from liftmount._internal.decisions import membership
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.members import Member
from liftmount._internal.models.members import MemberStatus
from liftmount._internal.models.records import Tick

TICK_MS = 25
START_WINDOW_MS = 1_500
MIN_DELAY_MS = 1
MAX_DELAY_MS = 60
MAX_PAUSE_MS = 3_000
STALL_INTERVAL_MS = 4_000
SEEDS = 2
TIMES = membership.MembershipTimes()


@frozen
class Faults:
    """Share of lost datagrams, and whether one member is paused at its start.

    Each member stalls for up to ``stall_ms`` about every STALL_INTERVAL_MS.
    With ``has_links`` datagrams pass proxies: their source is the address
    that they were sent to.
    """

    loss: float = 0.0
    has_pause: bool = False
    stall_ms: int = 0
    has_links: bool = False


@frozen(order=True)
class _Arrival:
    at_ms: int
    number: int
    receiver: int
    source: Endpoint
    datagram: bytes


def _endpoint(number, port=1):
    return Endpoint(f'10.0.{number >> 8}.{number & 255}', port)


@define
class LossyNetwork:
    """Members that start within START_WINDOW_MS and exchange datagrams.

    ``states`` maps numbers from 1 on to MembershipState once a member has
    started.  ``cut`` holds pairs of members that cannot reach each other.
    """

    size: int
    seed: int
    faults: Faults = Factory(Faults)
    now_ms: int = 0
    states: dict = Factory(dict)
    starts_ms: dict = Factory(dict)
    paused: dict = Factory(dict)
    cut: set = Factory(set)
    stopped: set = Factory(set)
    _rng: random.Random = None
    _arrivals: list = Factory(list)
    _numbers: object = Factory(itertools.count)

    def __attrs_post_init__(self):
        self._rng = random.Random(f'{self.size} {self.seed}')
        for number in range(1, self.size + 1):
            self.starts_ms[number] = self._rng.randrange(START_WINDOW_MS)
        if self.faults.has_pause:
            number = self._rng.randint(1, self.size)
            from_ms = self._rng.randrange(START_WINDOW_MS)
            lasts_ms = self._rng.randrange(MAX_PAUSE_MS)
            self.paused[number] = (from_ms, from_ms + lasts_ms)

    def run(self, until_ms):
        """Run the members until a time."""
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self._deliver()
            for number in range(1, self.size + 1):
                self._tick(number)

    def stop(self, number):
        """Stop a member for good."""
        self.stopped.add(number)

    def _tick(self, number):
        self._maybe_stall(number)
        if self._is_paused(number):
            return
        if number not in self.states:
            if self.now_ms < self.starts_ms[number]:
                return
            self.states[number] = self._make(number)
        event = Tick(self.now_ms)
        self._send(number, membership.decide(self.states[number], event))

    def _maybe_stall(self, number):
        if not self.faults.stall_ms or self._is_paused(number):
            return
        if self._rng.random() < TICK_MS / STALL_INTERVAL_MS:
            lasts_ms = self._rng.randrange(self.faults.stall_ms)
            self.paused[number] = (self.now_ms, self.now_ms + lasts_ms)

    def _is_paused(self, number):
        if number in self.stopped:
            return True
        from_ms, until_ms = self.paused.get(number, (0, 0))
        return from_ms <= self.now_ms < until_ms

    def _make(self, number):
        own = Member(
            name=f'lm-{number}',
            failure_domain='a',
            peer=_endpoint(number),
            control=_endpoint(number, 2),
            incarnation=1 + self.now_ms,
        )
        seeds = [_endpoint(one) for one in range(1, SEEDS + 1)]
        return membership.make_membership(own, TIMES, seeds, self.now_ms)

    def _send(self, sender, actions):
        source = _endpoint(sender)
        for action in actions:
            if not isinstance(action, membership.SendDatagram):
                continue
            high, low = action.destination.ip.split('.')[2:]
            receiver = int(high) * 256 + int(low)
            delay_ms = self._rng.randint(MIN_DELAY_MS, MAX_DELAY_MS)
            is_lost = self._rng.random() < self.faults.loss
            if is_lost or frozenset((sender, receiver)) in self.cut:
                continue
            arrival = _Arrival(
                self.now_ms + delay_ms,
                next(self._numbers),
                receiver,
                action.destination if self.faults.has_links else source,
                action.datagram,
            )
            heapq.heappush(self._arrivals, arrival)

    def _deliver(self):
        """Deliver what is due; a paused member reads it when it resumes."""
        held = []
        while self._arrivals and self._arrivals[0].at_ms <= self.now_ms:
            arrival = heapq.heappop(self._arrivals)
            if self._is_paused(arrival.receiver):
                held.append(arrival)
            elif arrival.receiver in self.states:
                self._receive(arrival)
        for arrival in held:
            heapq.heappush(self._arrivals, arrival)

    def _receive(self, arrival):
        _tag, message = cbor2.loads(arrival.datagram)
        event = membership.MessageArrived(message, arrival.source, self.now_ms)
        state = self.states[arrival.receiver]
        self._send(arrival.receiver, membership.decide(state, event))

    def unlisted(self):
        """Return (member, other) for each living other it does not list."""
        return [
            (state.own.name, other.own.name)
            for state in self.states.values()
            for other in self.states.values()
            if state.find(other.own.name) is None
        ]

    def held_for_dead(self):
        """Return (member, other) for each living other it holds for dead."""
        return [
            (state.own.name, other.name)
            for state in self.states.values()
            for other in state.members.values()
            if other.status is MemberStatus.DEAD
        ]


def play(network, until_ms):
    """Run a network; return it, as it may run in another process."""
    network.run(until_ms)
    return network
