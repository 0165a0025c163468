"""Liftmount's policy and baselines with the same interface.

A policy gets one request at a time by ``submit`` and reports its end by
``done(request, verdict, reason)``.
"""

from ipaddress import ip_network

from attrs import define
from attrs import Factory

from liftmount._internal.decisions import requests as request_decisions
from liftmount._internal.decisions.home import make_home_state
from liftmount._internal.decisions.ownership import rank
from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.models import actions as act
from liftmount._internal.models import events
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.records import Tick
from liftmount._internal.models.settings import LimitSettings

CALLER = Endpoint('10.0.0.1', 1)
ATTEMPTS = 3
TICK_MS = 20
BALANCERS = 8


@define(eq=False)
class Request:
    """A simulated request and its outcome."""

    number: int
    priority: str
    work_ms: float
    arrived_ms: float
    deadline_ms: float
    verdict: str = ''
    reason: str = ''
    ended_ms: float = 0.0
    sends: int = 0
    tried: set = Factory(set)


class OwnerPolicy:
    """The decisions of liftmount, made by the owner of the pool."""

    name = 'liftmount'

    def __init__(self, timeline, targets, counters, done):
        self.timeline = timeline
        self.targets = {one.name: one for one in targets}
        self.counters = counters
        self.done = done
        limits = LimitSettings()
        self.home = make_home_state(limits, targets[0].domain)
        self.nonces = {}
        self.requests = {}
        self.last_number = 0
        self.pool = self.home.pool_state('team/pool').pool
        self.update_targets()
        self._tick()

    def update_targets(self):
        """Pass the current targets, and which of them leave, to the pool."""
        infos = [
            TargetInfo(one.name, one.domain, leaving=one.leaving)
            for one in self.targets.values()
        ]
        self.pool.update(infos, int(self.timeline.now_ms))

    def _tick(self):
        self._handle_event(Tick(int(self.timeline.now_ms)))
        self.timeline.schedule(self.timeline.now_ms + TICK_MS, self._tick)

    def _ensure_flow(self, priority, deadline_ms):
        if priority not in self.nonces:
            nonce = len(self.nonces) + 1
            service = Service(
                team='team',
                name=priority,
                mode='request',
                pool='pool',
                address=Endpoint('10.1.0.1', nonce),
                priority=priority,
                repeatable=False,
                deadline_ms=int(deadline_ms),
                max_queue=256,
                networks=(ip_network('10.0.0.0/8'),),
            )
            self.nonces[priority] = nonce
            requested = events.FlowAsked(
                service=service,
                caller=CALLER,
                flow_id=str(nonce).encode(),
                name=b'',
                sequence=0,
                target='',
                target_incarnation=0,
                nonce=nonce,
                now_ms=int(self.timeline.now_ms),
            )
            self._handle_event(requested)
        return self.nonces[priority]

    def submit(self, request):
        """Submit a request to the home."""
        nonce = self._ensure_flow(request.priority, request.deadline_ms)
        self.last_number += 1
        self.requests[nonce, self.last_number] = request
        arrived = events.RequestArrived(
            nonce=nonce,
            caller=CALLER,
            number=self.last_number,
            deadline_ms=int(request.deadline_ms),
            body=b'',
            now_ms=int(self.timeline.now_ms),
        )
        self._handle_event(arrived)

    def _handle_event(self, event):
        for action in request_decisions.decide(self.home, event):
            match action:
                case act.SendRequest():
                    self._send(action)
                case act.Reply():
                    self._reply(action)
                case act.CountRetry():
                    self.counters['retries'] += 1

    def _send(self, action):
        pending = self.home.pending[action.request_id]
        request = self.requests[pending.nonce, pending.number]
        target = self.targets[action.target]
        request.sends += 1
        self.counters['sends'] += 1
        count_past_slots(self.counters, target, self.targets.values())

        def on_answer():
            now_ms = int(self.timeline.now_ms)
            event = events.TargetAnswered(action.request_id, b'', now_ms)
            self._handle_event(event)

        def on_refusal():
            now_ms = int(self.timeline.now_ms)
            if target.down:
                event = events.RequestLost(action.request_id, False, now_ms)
            else:
                event = events.TargetRefused(
                    action.request_id, 100, False, now_ms
                )
            self._handle_event(event)

        deadline_at_ms = self.timeline.now_ms + action.deadline_ms
        target.submit(request.work_ms, deadline_at_ms, on_answer, on_refusal)

    def _reply(self, action):
        nonce = self.nonces[self._priority_of(action)]
        request = self.requests.pop((nonce, action.number), None)
        if request is not None:
            reason = action.outcome.reason
            text = reason.value if reason else ''
            self.done(request, action.outcome.verdict.value, text)

    def _priority_of(self, action):
        port = action.address.port
        return next(k for k, nonce in self.nonces.items() if nonce == port)


def count_past_slots(counters, target, targets):
    """Count a send to a full target while another had a free slot."""
    if target.load < target.slots:
        return
    has_free_slot = any(
        one.load < one.slots and not one.down and not one.leaving
        for one in targets
    )
    if has_free_slot:
        counters['past_slots'] += 1


class Baseline:
    """A policy of independent balancers that share no state."""

    name = ''

    def __init__(self, timeline, targets, counters, done):
        self.timeline = timeline
        self.targets = targets
        self.counters = counters
        self.done = done
        self.states = [self.make_state() for _ in range(BALANCERS)]

    def make_state(self):
        """Return the initial state of one balancer."""
        return {}

    def update_targets(self):
        """Do nothing: baselines read the state of targets directly."""

    def choose(self, state, request, allowed):
        """Return one of the allowed targets."""
        raise NotImplementedError

    def submit(self, request):
        """Submit a request to one of the balancers."""
        state = self.states[request.number % BALANCERS]
        self._send_to_target(state, request)

    def _send_to_target(self, state, request):
        allowed = [
            one
            for one in self.targets
            if not one.leaving and one.name not in request.tried
        ]
        if not allowed or request.sends >= ATTEMPTS:
            self.done(request, 'not_run', 'target_shed')
            return
        target = self.choose(state, request, allowed)
        request.sends += 1
        self.counters['sends'] += 1
        if request.sends > 1:
            self.counters['retries'] += 1
        count_past_slots(self.counters, target, self.targets)
        state[target.name] = state.get(target.name, 0) + 1

        def on_answer():
            state[target.name] -= 1
            self.done(request, 'ran', '')

        def on_refusal():
            state[target.name] -= 1
            request.tried.add(target.name)
            self._send_to_target(state, request)

        deadline_at_ms = request.arrived_ms + request.deadline_ms
        target.submit(request.work_ms, deadline_at_ms, on_answer, on_refusal)


class RoundRobin(Baseline):
    """Round robin over the targets, at each balancer."""

    name = 'round robin'

    def choose(self, state, request, allowed):
        """Return the next target in turn."""
        turn = state['turn'] = state.get('turn', -1) + 1
        return allowed[turn % len(allowed)]


class Rendezvous(Baseline):
    """Rendezvous hashing of the request's number."""

    name = 'rendezvous'

    def choose(self, state, request, allowed):
        """Return the target with the highest score."""
        names = [one.name for one in allowed]
        best = rank(str(request.number), names)[0]
        return next(one for one in allowed if one.name == best)


class LeastConnections(Baseline):
    """Fewest requests in progress from the same balancer."""

    name = 'least connections'

    def choose(self, state, request, allowed):
        """Return the target with the fewest requests of this balancer."""
        turn = state['turn'] = state.get('turn', -1) + 1
        rotated = allowed[turn % len(allowed) :]
        rotated += allowed[: turn % len(allowed)]
        return min(rotated, key=lambda one: state.get(one.name, 0))


POLICIES = (OwnerPolicy, RoundRobin, Rendezvous, LeastConnections)
