"""Who a running daemon is."""

from attrs import frozen

RANDOM_BITS = 12


@frozen
class Identity:
    """Name and incarnation of a process, and where it runs."""

    name: str
    failure_domain: str
    incarnation: int


def make_incarnation(wall_ms: int, random_bits: int) -> int:
    """Return a number that no earlier process of this name had.

    Later processes get higher numbers as long as clocks do not step back;
    the random bits keep two apart that start in one millisecond.
    """
    mask = (1 << RANDOM_BITS) - 1
    return (wall_ms << RANDOM_BITS) | (random_bits & mask)
