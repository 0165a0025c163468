"""Decodes the objects of each feed: routes, targets, evacuations."""

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

# For each feed the kind of its objects and the function that decodes one.
SOURCES = {
    ROUTES: (CONFIGURATION_KIND, read_routes),
    TARGETS: (TARGET_KIND, read_target),
    EVACUATIONS: (EVACUATION_KIND, read_evacuated),
}


@message
class Decoded(Message):
    """Decoded objects, and the names of those that could not be decoded."""

    accepted: tuple
    rejected: tuple[str, ...]


def decode_all(stored, read, record_problems) -> Decoded:
    """Decode StoredObjects by ``read(name, spec, report)``.

    ``read`` raises StoredObjectError if an object is unusable, and calls
    ``report(error)`` for each part of an object that it skips.
    ``record_problems(key, revision, problems)`` is called for every object,
    with an empty list if it is valid.
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
        except Exception as error:
            # One object must not make the others unreadable.
            unread = StoredObjectError(one.key, '', None, repr(error))
            problems.append(unread)
            rejected.append(one.name)
        record_problems(one.key, one.version, problems)
    return Decoded(tuple(accepted), tuple(rejected))


def make_unnamed_recorder(record_problems):
    """Return a callback ``(error)`` for items without a valid name."""
    return lambda error: record_problems(error.name, 0, [error])
