"""The verdict on a request, which states whether it may have run."""

from enum import Enum

from attrs import frozen

from liftmount._internal.models.reasons import Reason


class Verdict(Enum):
    """Whether a request ran.

    ``RAN``: it ran, and its complete answer is available.  ``NOT_RUN``: it
    did not run and never will; only the home of its flow gives this
    verdict, after it has claimed the request's number.  ``MAY_HAVE_RUN``:
    it is unknown whether it ran.
    """

    RAN = 'ran'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


@frozen
class Outcome:
    """The final answer to one request.

    ``body`` is complete if ``verdict`` is ``RAN`` and empty otherwise.
    ``retry_after_ms`` is the delay before a retry; 0 means at once.
    """

    verdict: Verdict
    body: bytes = b''
    reason: Reason | None = None
    retry_after_ms: int = 0
