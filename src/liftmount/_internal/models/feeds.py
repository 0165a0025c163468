"""What a feed of the store's objects tells, whatever they hold."""

from attrs import frozen


@frozen
class Listing:
    """All objects of a kind as of ``revision``."""

    items: tuple
    revision: int


@frozen
class Delta:
    """Objects written and names removed up to ``revision``, in order."""

    written: tuple
    removed: tuple[str, ...]
    revision: int
