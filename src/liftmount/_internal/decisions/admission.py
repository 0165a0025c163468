"""Admission queue with strict priorities and a minimum share per class.

``urgent`` requests start before ``normal`` ones, and these before
``may-wait``.  So that lower classes are not starved, each is guaranteed a
share of all starts while it has requests waiting.
"""

from collections import deque

from attrs import define
from attrs import Factory

PRIORITY_CLASSES = ('urgent', 'normal', 'may-wait')
# Minimum share of all starts for a class with waiting requests.
GUARANTEED_SHARES = {'normal': 0.2, 'may-wait': 0.1}
# Starts that a class may accumulate.
MAX_CREDIT = 1.0


@define
class AdmissionQueue:
    """Requests that wait for a slot of one pool, by priority class.

    ``credit`` has the starts that each lower class has earned.
    """

    queues: dict[str, deque] = Factory(
        lambda: {name: deque() for name in PRIORITY_CLASSES}
    )
    credit: dict[str, float] = Factory(
        lambda: dict.fromkeys(GUARANTEED_SHARES, 0.0)
    )

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def push(self, priority: str, item, front: bool = False) -> None:
        """Add ``item`` to its class, at the front if it is a retry."""
        queue = self.queues[priority]
        if front:
            queue.appendleft(item)
        else:
            queue.append(item)

    def ahead(self, priority: str) -> int:
        """Return how many items precede a new one of this class."""
        position = PRIORITY_CLASSES.index(priority) + 1
        return sum(
            len(self.queues[name]) for name in PRIORITY_CLASSES[:position]
        )

    def waiting(self, priority: str) -> int:
        """Return how many items of one class are waiting."""
        return len(self.queues[priority])

    def remove(self, priority: str, item) -> bool:
        """Remove an item; return whether it was waiting."""
        try:
            self.queues[priority].remove(item)
        except ValueError:
            return False
        return True

    def displace(self, priority: str):
        """Remove and return the newest item of the lowest class.

        Return None if all classes below ``priority`` are empty.
        """
        for name in reversed(
            PRIORITY_CLASSES[PRIORITY_CLASSES.index(priority) + 1 :]
        ):
            if self.queues[name]:
                return self.queues[name].pop()
        return None

    def pop(self):
        """Remove and return the next item to start, or None if empty."""
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
        for name, share in GUARANTEED_SHARES.items():
            if name == chosen or not self.queues[name]:
                continue
            # Credit is earned per start of another class: a share s of all
            # starts is s / (1 - s) of the others.
            earned = self.credit[name] + share / (1.0 - share)
            self.credit[name] = min(MAX_CREDIT, earned)
