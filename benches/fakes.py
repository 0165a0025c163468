"""Fake targets on a simulated clock, for the policy measurements."""

from collections import deque
import heapq

from attrs import define
from attrs import Factory


@define
class Timeline:
    """An event queue and its simulated clock, in milliseconds."""

    now_ms: float = 0.0
    _heap: list = Factory(list)
    _count: int = 0

    def schedule(self, time_ms: float, call) -> None:
        """Schedule ``call()`` at a time."""
        self._count += 1
        heapq.heappush(self._heap, (time_ms, self._count, call))

    def run(self, until_ms: float) -> None:
        """Run all calls that are due until a time."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _count, call = heapq.heappop(self._heap)
            call()
        self.now_ms = until_ms


@define
class FakeTarget:
    """A target with slots and a short queue that sheds further requests.

    A change of ``speed`` applies to work started later.  A target that is
    ``down`` refuses all requests; ``shed_share`` of them are shed at random.
    """

    name: str
    domain: str
    slots: int
    speed: float
    timeline: Timeline
    queue_limit: int = 2
    down: bool = False
    leaving: bool = False
    shed_share: float = 0.0
    draw_random: object = None
    running: int = 0
    queue: deque = Factory(deque)
    work_done_ms: float = 0.0
    starts: list = Factory(list)

    @property
    def load(self) -> int:
        """The number of requests that run or are queued."""
        return self.running + len(self.queue)

    def submit(self, work_ms, deadline_at_ms, on_answer, on_refusal):
        """Accept or refuse a request; calls one of the callbacks later."""
        is_shed = self.shed_share and self.draw_random() < self.shed_share
        is_full = self.load >= self.slots + self.queue_limit
        if self.down or is_shed or is_full:
            self._call_soon(on_refusal)
            return
        item = (work_ms, deadline_at_ms, on_answer, on_refusal)
        if self.running < self.slots:
            self._start(item)
        else:
            self.queue.append(item)

    def _call_soon(self, call):
        self.timeline.schedule(self.timeline.now_ms + 1.0, call)

    def _start(self, item):
        work_ms, deadline_at_ms, on_answer, on_refusal = item
        if self.timeline.now_ms >= deadline_at_ms:
            self._call_soon(on_refusal)
            return
        self.running += 1
        self.work_done_ms += work_ms
        self.starts.append((self.timeline.now_ms, work_ms))
        end_ms = self.timeline.now_ms + work_ms / self.speed

        def finish():
            self.running -= 1
            while self.queue and self.running < self.slots:
                self._start(self.queue.popleft())
            on_answer()

        self.timeline.schedule(end_ms, finish)
