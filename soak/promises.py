"""Checks the balancers' guarantees by what clients and targets observe.

Both report their events to ``PromiseChecker``, which records a breach for
each guarantee that does not hold.
"""

from collections import Counter
from collections import deque

from attrs import define
from attrs import Factory
from attrs import frozen

from soak import transport
from soak.clients import RequestKind

# Bounds of the deployment under test.
DRAIN_MS = 3_000
EVACUATE_MS = 3_000
CONFIG_MS = 3_000
SETTLED_MS = 4_000
GRACE_MS = 6_000
RECOVERY_MS = 12_000
# Of the requests after the last fault.
MIN_SERVED_SHARE = 0.95
MIN_REQUESTS = 20
# Far above the normal latency: packets were lost and resent.
SLOW_MS = 600
# Lags of some seconds, as long as the longest request.
KEPT_LAGS = 1_000


@frozen
class Breach:
    """A broken promise and the evidence."""

    promise: str
    at_ms: int
    what: str


@define
class Disturbances:
    """End of the last disturbance of each component.

    The time is in the future, or ``inf``, while a disturbance lasts.
    """

    until_ms: dict[str, float] = Factory(dict)

    def record(self, name: str, until_ms: float) -> None:
        """Record a disturbance of a component until ``until_ms``."""
        known = self.until_ms.get(name, 0)
        self.until_ms[name] = max(known, until_ms)

    def is_settled(self, name: str, now_ms: int) -> bool:
        """Tell whether a component is undisturbed for at least SETTLED_MS."""
        return now_ms - self.until_ms.get(name, -SETTLED_MS) >= SETTLED_MS


@frozen
class Lag:
    """How late the soak's own event loop was at a time."""

    at_ms: int
    lag_ms: int


@frozen
class SlowRequest:
    """A slow request, and the soak's own lag while it was under way."""

    kind: str
    started_ms: int
    took_ms: int
    own_lag_ms: int


class PromiseChecker:
    """Checks the events that clients and targets report.

    ``route_services`` maps (IP number, port) to the services that the route
    has ever had; ``leaving_ms`` and ``evacuated_ms`` map targets and failure
    domains to the time since which they are leaving or evacuated.
    """

    def __init__(self, clock, disturbances: Disturbances):
        self.clock = clock
        self.disturbances = disturbances
        self.breaches = []
        self.counts = Counter()
        self.finished_requests = []
        self.slow_requests = []
        self.lags = deque(maxlen=KEPT_LAGS)
        self.open_flows = {}
        self.balancer_names = {}
        self.route_services = {}
        self.leaving_ms = {}
        self.evacuated_ms = {}
        self.disturbed_all_ms = 0
        self._target_by_try = {}
        self._try_by_request = {}

    def report_breach(self, promise: str, what: str) -> None:
        """Record that a promise was broken."""
        now_ms = self.clock.now_ms()
        self.breaches.append(Breach(promise, now_ms, what))

    # Events of targets

    def report_changed_packet(self, where: str, datagram: bytes) -> None:
        """Report a packet that differs from what its sender wrote."""
        self.report_breach(
            'packets stay as they are', f'{where}: {datagram[:32]!r}'
        )

    def record_opening(self, target, packet) -> None:
        """Record that a target accepted the opening of a flow."""
        self.counts['openings'] += 1
        allowed = self.route_services.get(packet.destination, set())
        if target.service not in allowed:
            self.report_breach(
                'flows reach their service',
                f'{transport.flow_key(packet)} at {target.service}',
            )
        self._check_late_opening(
            'leaving targets get no new flows',
            target.name,
            self.leaving_ms.get(target.name),
            DRAIN_MS,
        )
        self._check_late_opening(
            'evacuated domains get no new flows',
            f'{target.name} in {target.domain}',
            self.evacuated_ms.get(target.domain),
            EVACUATE_MS,
        )

    def _check_late_opening(self, promise, where, since_ms, bound_ms):
        """Report an opening later than ``bound_ms`` after a store write."""
        if since_ms is None:
            return
        late_ms = self.clock.now_ms() - since_ms
        if late_ms > bound_ms and self.is_undisturbed():
            self.report_breach(
                promise, f'{where} {late_ms} ms after the store write'
            )

    def is_undisturbed(self) -> bool:
        """Tell whether all balancers and the store are undisturbed.

        A target does not see which balancer forwarded a packet.
        """
        now_ms = self.clock.now_ms()
        names = [*self.balancer_names.values(), 'store']
        return all(
            self.disturbances.is_settled(name, now_ms) for name in names
        )

    def record_open_flow(self, target, key) -> None:
        """Record that the handshake of a flow reached its target."""
        self.counts['opened'] += 1
        self.open_flows[key] = target

    def record_run(self, target, key, request) -> None:
        """Record that a target began work on a request."""
        self.counts['ran'] += 1
        if (
            self._target_by_try.setdefault(request['try'], target.name)
            != target.name
        ):
            self.report_breach(
                'a try runs once', f'{request["try"]} ran again'
            )
        if request['kind'] != RequestKind.AT_MOST_ONCE.value:
            return
        first = self._try_by_request.setdefault(
            request['request'], request['try']
        )
        if first != request['try']:
            what = f'{request["request"]} ran as {first}, {request["try"]}'
            self.report_breach('a request runs at most once', what)

    # Events of clients

    def record_reset(self, key, ip) -> None:
        """Record a reset that a client received from a balancer."""
        self.counts['resets'] += 1
        target = self.open_flows.get(key)
        if target is None or not target.holds(key):
            return
        now_ms = self.clock.now_ms()
        balancer = self.balancer_names.get(ip, ip)
        if all(
            self.disturbances.is_settled(name, now_ms)
            for name in (target.name, balancer)
        ):
            self.report_breach(
                'open flows stay while their target lives',
                f'{key} at {target.name}, reset by {balancer}',
            )

    def report_wrong_answer(self, wanted: str, got: str) -> None:
        """Report an answer that belongs to another request."""
        self.report_breach('answers belong to requests', f'{got} for {wanted}')

    def record_request(self, load, started_ms, ended_ms, is_served) -> None:
        """Record the outcome of a request."""
        self.counts['served' if is_served else 'unserved'] += 1
        is_slow = ended_ms - started_ms > SLOW_MS
        self.counts['slow'] += is_slow
        if is_slow:
            self._record_slow(load, started_ms, ended_ms)
        self.counts[f'asked {load.kind.value}'] += 1
        self.finished_requests.append((started_ms, is_served))

    def record_lag(self, now_ms: int, lag_ms: int) -> None:
        """Record that the soak's own event loop was late."""
        self.lags.append(Lag(now_ms, lag_ms))

    def _record_slow(self, load, started_ms, ended_ms):
        own_lag_ms = sum(
            one.lag_ms
            for one in self.lags
            if started_ms <= one.at_ms <= ended_ms
        )
        self.slow_requests.append(
            SlowRequest(
                load.kind.value, started_ms, ended_ms - started_ms, own_lag_ms
            )
        )

    # End of the run

    def check_recovery(self, since_ms: int, until_ms: int) -> float:
        """Check requests started in a period; return the share served."""
        found = [
            is_served
            for started_ms, is_served in self.finished_requests
            if since_ms <= started_ms <= until_ms
        ]
        share = sum(found) / len(found) if found else 0.0
        if len(found) < MIN_REQUESTS or share < MIN_SERVED_SHARE:
            self.report_breach(
                'service returns after the last fault',
                f'{sum(found)} of {len(found)} requests were served',
            )
        return share
