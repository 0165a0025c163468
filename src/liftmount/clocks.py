"""Monotonic and wall clocks in milliseconds, and a manual one for tests."""

from liftmount._internal.clock import Clock
from liftmount._internal.clock import ManualClock

__all__ = (
    'Clock',
    'ManualClock',
)
