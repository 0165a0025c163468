"""The identity of a running daemon."""

from attrs import frozen

RANDOM_BITS = 12


@frozen
class Identity:
    """Name, failure domain and incarnation of a process."""

    name: str
    failure_domain: str
    incarnation: int


def make_incarnation(wall_ms: int, random_bits: int) -> int:
    """Return an incarnation that no earlier process of this name had.

    Later processes get higher numbers unless the clock steps back.  The
    random bits distinguish processes that start in the same millisecond.
    """
    mask = (1 << RANDOM_BITS) - 1
    return (wall_ms << RANDOM_BITS) | (random_bits & mask)
