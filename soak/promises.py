"""What has to hold, judged by what clients and targets saw."""

from collections import Counter

from attrs import define
from attrs import Factory
from attrs import frozen

from soak import transport
from soak.clients import RequestKind

# The bounds that the deployment is run with.
DRAIN_MS = 3_000
EVACUATE_MS = 3_000
CONFIG_MS = 3_000
SETTLED_MS = 4_000
GRACE_MS = 6_000
RECOVERY_MS = 12_000
# What has to be served of what is asked after the last fault; the rules
# ask for a quarter, our own balancers do far better.
MIN_SERVED_SHARE = 0.95
MIN_REQUESTS = 20
# Requests take 10 to 60 ms; this long means that packets were lost.
SLOW_MS = 600


@frozen
class Breach:
    """A promise that was broken, and what shows it."""

    promise: str
    at_ms: int
    what: str


@define
class Disturbances:
    """When something was last disturbed; whatever is now is ``inf``."""

    until_ms: dict[str, float] = Factory(dict)

    def record(self, name: str, until_ms: float) -> None:
        """Note a disturbance that lasts until then."""
        known = self.until_ms.get(name, 0)
        self.until_ms[name] = max(known, until_ms)

    def is_settled(self, name: str, now_ms: int) -> bool:
        """Tell whether something has been well for the contact time."""
        return now_ms - self.until_ms.get(name, -SETTLED_MS) >= SETTLED_MS


class PromiseChecker:
    """Hears what happens at the sockets of clients and targets."""

    def __init__(self, clock, disturbances: Disturbances):
        self.clock = clock
        self.disturbances = disturbances
        self.breaches = []
        self.counts = Counter()
        self.finished_requests = []
        self.open_flows = {}
        self.balancer_names = {}
        self.route_services = {}
        self.leaving_ms = {}
        self.evacuated_ms = {}
        self.disturbed_all_ms = 0
        self._target_by_try = {}
        self._try_by_request = {}

    def report_breach(self, promise: str, what: str) -> None:
        """Note that a promise was broken."""
        now_ms = self.clock.now_ms()
        self.breaches.append(Breach(promise, now_ms, what))

    # What targets see.

    def report_changed_packet(self, where: str, datagram: bytes) -> None:
        """A packet arrived that its sender did not write so."""
        self.report_breach(
            'packets stay as they are', f'{where}: {datagram[:32]!r}'
        )

    def record_opening(self, target, packet) -> None:
        """A target took an opening."""
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
        """Note an opening that came too long after the store took a word."""
        if since_ms is None:
            return
        late_ms = self.clock.now_ms() - since_ms
        if late_ms > bound_ms and self.is_undisturbed():
            self.report_breach(
                promise, f'{where} {late_ms} ms after it was said'
            )

    def is_undisturbed(self) -> bool:
        """Tell whether every balancer and the store are in touch.

        Which balancer passed a packet on is not seen at a target.
        """
        now_ms = self.clock.now_ms()
        names = [*self.balancer_names.values(), 'store']
        return all(
            self.disturbances.is_settled(name, now_ms) for name in names
        )

    def record_open_flow(self, target, key) -> None:
        """The handshake of a flow reached its target."""
        self.counts['opened'] += 1
        self.open_flows[key] = target

    def record_run(self, target, key, request) -> None:
        """A target began work on a request."""
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

    # What clients see.

    def record_reset(self, key, ip) -> None:
        """A client got a reset that a balancer wrote."""
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
        """A client got an answer to another request."""
        self.report_breach('answers belong to requests', f'{got} for {wanted}')

    def record_request(self, load, started_ms, ended_ms, is_served) -> None:
        """A request came to its end."""
        self.counts['served' if is_served else 'unserved'] += 1
        self.counts['slow'] += ended_ms - started_ms > SLOW_MS
        self.counts[f'asked {load.kind.value}'] += 1
        self.finished_requests.append((started_ms, is_served))

    # At the end.

    def check_recovery(self, since_ms: int, until_ms: int) -> float:
        """Judge what was asked after the last fault; return the share."""
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
