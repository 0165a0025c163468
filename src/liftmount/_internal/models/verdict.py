"""The verdict on a request: whether it may have run."""

from enum import Enum

from attrs import frozen

from liftmount._internal.models.reasons import Reason


class Verdict(Enum):
    """What is known about one request.

    ``RAN``: it ran, and its whole answer is at hand.  ``NOT_RUN``: it did
    not run and never will; only the home of its flow may say so, after
    closing its number.  ``MAY_HAVE_RUN``: nobody can tell.
    """

    RAN = 'ran'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


@frozen
class Outcome:
    """The final answer to one request.

    ``body`` is whole when ``verdict`` is ``RAN`` and empty otherwise.
    ``retry_after_ms`` tells when to come back; 0 means at once.
    """

    verdict: Verdict
    body: bytes = b''
    reason: Reason | None = None
    retry_after_ms: int = 0
