"""What of the store's objects is left out, as it can't be used."""

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.utils.metrics import Metrics
from liftmount._internal.utils.metrics import PREFIX
from liftmount._internal.utils.structured import StructuredLog

# Objects that are kept in mind; the oldest is forgotten first, and would be
# logged again.
MAX_OBJECTS = 256
# Problems of one object that are logged and shown.
MAX_PROBLEMS = 8


@frozen
class _RejectedObject:
    """The revision at which an object was refused, and its bad fields."""

    revision: int
    fields: tuple[str, ...]


@define
class RejectedObjects:
    """Hears of what feeds can't use; tells it once an object and revision.

    A list is read again and again, and so is what another writer left in it.
    """

    log: StructuredLog
    metrics: Metrics
    objects: dict[str, _RejectedObject] = Factory(dict)

    def record(self, key: str, revision: int, problems) -> None:
        """Note all that is wrong with one state of an object, maybe nothing.

        ``problems`` are StoredObjectErrors.
        """
        if not problems:
            if self.objects:
                self.objects.pop(key, None)
            return
        known = self.objects.pop(key, None)
        fields = tuple(one.field for one in problems[:MAX_PROBLEMS])
        self.objects[key] = _RejectedObject(revision, fields)
        if len(self.objects) > MAX_OBJECTS:
            del self.objects[next(iter(self.objects))]
        if known is not None and known.revision == revision:
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
        """Return what is left out now, in the text format of Prometheus."""
        return ''.join(
            f'{PREFIX}_left_out{{object="{_label(key)}",'
            f'field="{_label(field)}"}} 1\n'
            for key, one in sorted(self.objects.items())
            for field in one.fields
        )


def _label(text):
    """Return a text as the value of a label: writers may name anything."""
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
