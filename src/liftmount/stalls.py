"""Targets that take requests and give no answer."""

from liftmount._internal.decisions.doubts import decide
from liftmount._internal.decisions.doubts import DoubtArrived
from liftmount._internal.decisions.doubts import DoubtState
from liftmount._internal.decisions.doubts import HoldOut
from liftmount._internal.decisions.doubts import StallSeen
from liftmount._internal.decisions.doubts import TellDoubt
from liftmount._internal.decisions.stalls import Stalled
from liftmount._internal.decisions.stalls import StallWatch
from liftmount._internal.models.knowledge import Doubt

__all__ = (
    'decide',
    'Doubt',
    'DoubtArrived',
    'DoubtState',
    'HoldOut',
    'Stalled',
    'StallSeen',
    'StallWatch',
    'TellDoubt',
)
