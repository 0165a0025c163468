"""Which target gets the next request or flow, and what each can carry."""

from liftmount._internal.decisions.admission import AdmissionQueue
from liftmount._internal.decisions.capacity import BusyShare
from liftmount._internal.decisions.capacity import Capacity
from liftmount._internal.decisions.pool import Pool
from liftmount._internal.decisions.pool import Start
from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.decisions.pool import TargetLoad
from liftmount._internal.decisions.retry import Backoff
from liftmount._internal.decisions.retry import RetryBudget

__all__ = (
    'AdmissionQueue',
    'Backoff',
    'BusyShare',
    'Capacity',
    'Pool',
    'RetryBudget',
    'Start',
    'TargetInfo',
    'TargetLoad',
)
