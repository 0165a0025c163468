"""Detection of targets that accept requests and don't answer them.

Such targets pass their health checks, but requests sent to them run into
their clients' timeouts. A balancer sees a request begin by its data, and its
answer by what the client acknowledges. A request that waits several times
the service's mean answer time is a stall. New flows avoid the target; open
flows are not reset.
"""

from collections import deque

from attrs import define
from attrs import Factory

from liftmount._internal.models.flow_messages import Stalled

# Multiple of the mean answer time after which a request is stalled.
# The slowest tenth of requests takes about three times the mean.
STALL_FACTOR = 8
# Bounds of that wait: above the clients' retransmission timeout (200 ms) and
# below their request timeout.
MIN_STALL_MS = 250
MAX_STALL_MS = 1_500
# Weight of a new answer in the exponential moving average.
ANSWER_WEIGHT = 0.05


@define
class _PendingRequest:
    """A request of a flow that began at ``began_ms``."""

    flow: object
    began_ms: int


@define
class _ServiceRequests:
    """Requests of one service in the order in which they began.

    ``mean_ms`` is the mean answer time, 0 before the first answer.
    """

    mean_ms: float = 0.0
    waiting: deque = Factory(deque)

    def limit_ms(self) -> float:
        """Return the wait after which a request is stalled."""
        if not self.mean_ms:
            return MAX_STALL_MS
        return min(
            max(MIN_STALL_MS, STALL_FACTOR * self.mean_ms), MAX_STALL_MS
        )


@define
class StallWatch:
    """Requests that wait for an answer, by service.

    A flow has ``key``, ``target``, ``is_working`` and ``working_ms``.
    """

    services: dict[str, _ServiceRequests] = Factory(dict)

    def began(self, service: str, flow, now_ms: int) -> None:
        """Record that a flow sent new data of a request."""
        self._service(service).waiting.append(_PendingRequest(flow, now_ms))

    def answered(self, service: str, took_ms: int) -> None:
        """Record the time that an answer took."""
        requests = self._service(service)
        if not requests.mean_ms:
            requests.mean_ms = max(1.0, took_ms)
        requests.mean_ms += ANSWER_WEIGHT * (took_ms - requests.mean_ms)

    def _service(self, name):
        found = self.services.get(name)
        if found is None:
            found = self.services[name] = _ServiceRequests()
        return found

    def find(self, now_ms: int, is_evidence: bool) -> list[Stalled]:
        """Return the requests that have become stalls.

        Without ``is_evidence``, overdue requests are dropped and not
        returned, since this balancer may have caused the delay itself.
        """
        found = []
        for name, service in self.services.items():
            began_by_ms = now_ms - service.limit_ms()
            waiting = service.waiting
            while waiting and waiting[0].began_ms <= began_by_ms:
                request = waiting.popleft()
                if is_evidence and _still_waits(request):
                    found.append(_make_stalled(name, request, now_ms))
        return found


def _still_waits(request):
    flow = request.flow
    return flow.is_working and flow.working_ms == request.began_ms


def _make_stalled(service, request, now_ms):
    flow = request.flow
    waited_ms = now_ms - request.began_ms
    return Stalled(flow.target, service, flow.key, waited_ms, now_ms)
