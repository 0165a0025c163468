"""Admission: which waiting request runs next, and which must not wait.

``urgent`` goes before ``normal`` and that before ``may-wait``; each lower
class has a floor, a share of all starts that it gets while it waits.
"""

from collections import deque

from attrs import define
from attrs import Factory

PRIORITY_CLASSES = ('urgent', 'normal', 'may-wait')
# Share of all starts that a waiting class gets at the least.
GUARANTEED_SHARES = {'normal': 0.2, 'may-wait': 0.1}
MAX_CREDIT = 1.0


@define
class AdmissionQueue:
    """Requests that wait for a slot of one pool, by priority class."""

    queues: dict[str, deque] = Factory(
        lambda: {name: deque() for name in PRIORITY_CLASSES}
    )
    credit: dict[str, float] = Factory(
        lambda: dict.fromkeys(GUARANTEED_SHARES, 0.0)
    )

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def push(self, priority: str, item, front: bool = False) -> None:
        """Let ``item`` wait, at the front when it already waited once."""
        queue = self.queues[priority]
        if front:
            queue.appendleft(item)
        else:
            queue.append(item)

    def ahead(self, priority: str) -> int:
        """Return how many would run before a new item of this class."""
        position = PRIORITY_CLASSES.index(priority) + 1
        return sum(
            len(self.queues[name]) for name in PRIORITY_CLASSES[:position]
        )

    def waiting(self, priority: str) -> int:
        """Return how many items of one class wait."""
        return len(self.queues[priority])

    def remove(self, priority: str, item) -> bool:
        """Take one item out; return whether it was there."""
        try:
            self.queues[priority].remove(item)
        except ValueError:
            return False
        return True

    def displace(self, priority: str):
        """Return the newest item of a class below ``priority``, or None."""
        for name in reversed(
            PRIORITY_CLASSES[PRIORITY_CLASSES.index(priority) + 1 :]
        ):
            if self.queues[name]:
                return self.queues[name].pop()
        return None

    def pop(self):
        """Return the item to start now, or None when nothing waits."""
        chosen = self._choose()
        if chosen is None:
            return None
        self._credit_others(chosen)
        return self.queues[chosen].popleft()

    def _choose(self):
        for name in reversed(PRIORITY_CLASSES):
            if self.credit.get(name, 0.0) >= 1.0 and self.queues[name]:
                return name
        for name in PRIORITY_CLASSES:
            if self.queues[name]:
                return name
        return None

    def _credit_others(self, chosen):
        if chosen in self.credit:
            self.credit[chosen] = max(0.0, self.credit[chosen] - 1.0)
        for name, floor in GUARANTEED_SHARES.items():
            if name == chosen or not self.queues[name]:
                continue
            # The class earns its floor with each start of another class;
            # relative to those starts this is floor / (1 - floor).
            earned = self.credit[name] + floor / (1.0 - floor)
            self.credit[name] = min(MAX_CREDIT, earned)
