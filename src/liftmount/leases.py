"""Leases with fencing epochs, kept in a store by conditional writes.

``decide`` takes a ``LeaseState`` and an event (``Tick``, ``LeaseRead``,
``LeaseWritten`` or ``LeaseWriteFailed``) and returns the actions, each a
``ReadLease`` or a ``WriteLease``.
"""

from liftmount._internal.decisions.lease import decide
from liftmount._internal.decisions.lease import LeaseRead
from liftmount._internal.decisions.lease import LeaseState
from liftmount._internal.decisions.lease import LeaseValue
from liftmount._internal.decisions.lease import LeaseWriteFailed
from liftmount._internal.decisions.lease import LeaseWritten
from liftmount._internal.decisions.lease import ReadLease
from liftmount._internal.decisions.lease import WriteLease
from liftmount._internal.models.records import Tick

__all__ = (
    'decide',
    'LeaseRead',
    'LeaseState',
    'LeaseValue',
    'LeaseWriteFailed',
    'LeaseWritten',
    'ReadLease',
    'Tick',
    'WriteLease',
)
