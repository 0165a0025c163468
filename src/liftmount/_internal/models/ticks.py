"""The passing of time, as an event for decisions."""

from attrs import frozen


@frozen
class Tick:
    """Time has passed."""

    now_ms: int
