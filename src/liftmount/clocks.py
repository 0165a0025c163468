"""The millisecond clock."""

from liftmount._internal.clock import Clock
from liftmount._internal.clock import ManualClock

__all__ = (
    'Clock',
    'ManualClock',
)
