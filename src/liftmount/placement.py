"""Placement of requests and flows on targets, with load and capacity.

``Pool`` chooses targets, ``Capacity`` estimates how much a target can
take, ``AdmissionQueue`` holds requests that wait for one, and
``RetryBudget`` and ``Backoff`` limit retries.
"""

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
