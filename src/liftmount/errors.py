"""Exceptions; all derive from :exc:`LiftmountError`."""

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.exceptions import ConflictError
from liftmount._internal.exceptions import LiftmountError
from liftmount._internal.exceptions import PacketError
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.exceptions import PlatformUnavailableError
from liftmount._internal.exceptions import ServiceNotFoundError
from liftmount._internal.exceptions import TokenError

__all__ = (
    'ConfigurationError',
    'ConflictError',
    'LiftmountError',
    'PacketError',
    'PlatformError',
    'PlatformUnavailableError',
    'ServiceNotFoundError',
    'TokenError',
)
