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

    accepted: tuple
    rejected: tuple[str, ...]


def decode_all(stored, read, record_problems) -> Decoded:
    """Turn stored objects into types of the project.

    ``read(name, spec, report)`` raises StoredObjectError if it can use
    nothing of an object, and reports what it passes over of others.
    ``record_problems(key, revision, problems)`` hears of all that is wrong with an
    object, maybe of nothing.
    """
    accepted = []
    rejected = []
    for one in stored:
        problems = []
        try:
            accepted.append(read(one.name, one.value, problems.append))
        except StoredObjectError as error:
            problems.append(error)
            rejected.append(one.name)
        record_problems(one.key, one.version, problems)
    return Decoded(tuple(accepted), tuple(rejected))


def make_unnamed_recorder(record_problems):
    """Return what notes a part of an answer that names no object."""
    return lambda error: record_problems(error.name, 0, [error])
