"""Objects of the store that were rejected because they are invalid."""

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.utils.metrics import escape_label
from liftmount._internal.utils.metrics import Metrics
from liftmount._internal.utils.metrics import PREFIX
from liftmount._internal.utils.structured import StructuredLog

# Rejected objects that are remembered; the oldest is dropped first.
MAX_OBJECTS = 256
# Problems of one object that are logged and exported.
MAX_PROBLEMS = 8


@frozen
class _RejectedObject:
    """The rejected revision of an object and its invalid fields."""

    revision: int
    fields: tuple[str, ...]


@define
class RejectedObjects:
    """Logs and exports objects that feeds rejected.

    Each revision of an object is logged once, though lists repeat it.
    """

    log: StructuredLog
    metrics: Metrics
    objects: dict[str, _RejectedObject] = Factory(dict)

    def record(self, key: str, revision: int, problems) -> None:
        """Record the problems of one revision of an object.

        ``problems`` are StoredObjectErrors; without any the object is
        accepted again.
        """
        if not problems:
            if self.objects:
                self.objects.pop(key, None)
            return
        previous = self.objects.pop(key, None)
        fields = tuple(one.field for one in problems[:MAX_PROBLEMS])
        self.objects[key] = _RejectedObject(revision, fields)
        if len(self.objects) > MAX_OBJECTS:
            del self.objects[next(iter(self.objects))]
        if previous is not None and previous.revision == revision:
            return
        self.metrics.count('refused.invalid_object')
        for problem in problems[:MAX_PROBLEMS]:
            self.log.write(
                'store',
                'left_out',
                object=key,
                revision=revision,
                problems=len(problems),
                cause=str(problem),
            )

    def text(self) -> str:
        """Return the rejected objects in the Prometheus text format."""
        return ''.join(
            f'{PREFIX}_left_out{{object="{escape_label(key)}",'
            f'field="{escape_label(field)}"}} 1\n'
            for key, one in sorted(self.objects.items())
            for field in one.fields
        )
