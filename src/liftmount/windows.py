"""Anti-replay window: each request number of a token is used once."""

from liftmount._internal.decisions.window import Claim
from liftmount._internal.decisions.window import Window

__all__ = (
    'Claim',
    'Window',
)
