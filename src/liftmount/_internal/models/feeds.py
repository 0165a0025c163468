"""What a feed of the store's objects tells, whatever they hold."""

from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message


@message
class Listing(Message):
    """All objects of a kind as of ``revision``."""

    items: tuple
    revision: int


@message
class Delta(Message):
    """Objects written and names removed up to ``revision``, in order."""

    written: tuple
    removed: tuple[str, ...]
    revision: int
