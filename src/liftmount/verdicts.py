"""Verdicts of requests, and the reasons for refusals and retries."""

from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.verdict import Outcome
from liftmount._internal.models.verdict import Verdict

__all__ = (
    'Outcome',
    'Reason',
    'Verdict',
)
