"""Leases with fencing epochs over conditional writes."""

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
