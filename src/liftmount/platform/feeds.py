"""What the platform's store tells: routes, targets, evacuations."""

from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models.feeds import EVACUATIONS
from liftmount._internal.models.feeds import ROUTES
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
from liftmount.platform.objects import CONFIGURATION_KIND
from liftmount.platform.objects import EVACUATION_KIND
from liftmount.platform.objects import read_evacuated
from liftmount.platform.objects import read_routes
from liftmount.platform.objects import read_target
from liftmount.platform.objects import TARGET_KIND

# Kind of the objects of each feed, and what reads one.
SOURCES = {
    ROUTES: (CONFIGURATION_KIND, read_routes),
    TARGETS: (TARGET_KIND, read_target),
    EVACUATIONS: (EVACUATION_KIND, read_evacuated),
}


@message
class Decoded(Message):
    """What stored objects hold, and the names of those that hold nothing."""

    good: tuple
    bad: tuple[str, ...]


def decode_all(stored, read, note) -> Decoded:
    """Turn stored objects into types of the project.

    ``read(name, spec, report)`` raises StoredObjectError if it can use
    nothing of an object, and reports what it passes over of others.
    ``note(key, revision, problems)`` hears of all that is wrong with an
    object, maybe of nothing.
    """
    good = []
    bad = []
    for one in stored:
        problems = []
        try:
            good.append(read(one.name, one.value, problems.append))
        except StoredObjectError as error:
            problems.append(error)
            bad.append(one.name)
        note(one.key, one.version, problems)
    return Decoded(tuple(good), tuple(bad))


def note_nameless(note):
    """Return what notes a part of an answer that names no object."""
    return lambda error: note(error.name, 0, [error])
