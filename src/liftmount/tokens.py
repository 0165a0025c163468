"""Flow tokens and the rotating keys that authenticate them."""

from liftmount._internal.decisions.keys import make_ring
from liftmount._internal.decisions.keys import RotationTimes
from liftmount._internal.decisions.token import FlowToken
from liftmount._internal.decisions.token import KeyRing
from liftmount._internal.decisions.token import open_token
from liftmount._internal.decisions.token import seal_token
from liftmount._internal.models.objects import FlowKey
from liftmount._internal.models.objects import FlowKeys

__all__ = (
    'FlowKey',
    'FlowKeys',
    'FlowToken',
    'KeyRing',
    'make_ring',
    'open_token',
    'RotationTimes',
    'seal_token',
)
