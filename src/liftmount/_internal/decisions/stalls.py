"""Which targets take a request and give no answer.

Answers the load of a service some of whose targets hang: they say that they
are well, and a request sent to one costs its client all the time that it
has.  A balancer sees a request begin by its data, and its answer by what the
client acknowledges.  A wait several times as long as answers take now, learnt
by service, is a stall; the target is avoided for new flows, and nothing is
reset for it.
"""

from collections import deque

from attrs import define
from attrs import Factory

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message

# A wait this many times as long as the mean answer takes is none that
# follows from the spread of work: its longest tenth takes some three times.
STALL_FACTOR = 8
# Bounds of such a wait.  Clients send again after 200 ms what was lost, and
# give up after some seconds.
MIN_STALL_MS = 250
MAX_STALL_MS = 1_500
# Weight of a new answer in the mean: some twenty of them turn it over.
ANSWER_WEIGHT = 0.05


@message
class Stalled(Message):
    """A request to a target waits for ``waited_ms`` without an answer."""

    target: str
    service: str
    flow: bytes
    waited_ms: int
    now_ms: int


@define
class _PendingRequest:
    """A request of a flow, since ``began_ms``."""

    flow: object
    began_ms: int


@define
class _ServiceRequests:
    """Requests of one service, in the order in which they began.

    ``mean_ms`` is what an answer takes, 0 while none has come.
    """

    mean_ms: float = 0.0
    waiting: deque = Factory(deque)

    def limit_ms(self) -> float:
        """Return after how long a request without an answer is a stall."""
        if not self.mean_ms:
            return MAX_STALL_MS
        return min(
            max(MIN_STALL_MS, STALL_FACTOR * self.mean_ms), MAX_STALL_MS
        )


@define
class StallWatch:
    """Requests that wait for an answer, by service."""

    services: dict[str, _ServiceRequests] = Factory(dict)

    def began(self, service: str, flow, now_ms: int) -> None:
        """Note that a flow sent new data of a request."""
        self._service(service).waiting.append(_PendingRequest(flow, now_ms))

    def answered(self, service: str, took_ms: int) -> None:
        """Note that an answer came."""
        one = self._service(service)
        if not one.mean_ms:
            one.mean_ms = max(1.0, took_ms)
        one.mean_ms += ANSWER_WEIGHT * (took_ms - one.mean_ms)

    def _service(self, name):
        found = self.services.get(name)
        if found is None:
            found = self.services[name] = _ServiceRequests()
        return found

    def find(self, now_ms: int, is_evidence: bool) -> list[Stalled]:
        """Return the requests that have become stalls.

        They are dropped without being ``is_evidence`` where the wait may be
        this balancer's own.
        """
        found = []
        for name, service in self.services.items():
            began_by_ms = now_ms - service.limit_ms()
            waiting = service.waiting
            while waiting and waiting[0].began_ms <= began_by_ms:
                one = waiting.popleft()
                if is_evidence and _still_waits(one):
                    found.append(_make_stalled(name, one, now_ms))
        return found


def _still_waits(one):
    flow = one.flow
    return flow.is_working and flow.working_ms == one.began_ms


def _make_stalled(service, one, now_ms):
    flow = one.flow
    waited_ms = now_ms - one.began_ms
    return Stalled(flow.target, service, flow.key, waited_ms, now_ms)
