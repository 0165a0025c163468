"""Caller-side state of a flow."""

import asyncio

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.exceptions import LiftmountError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.packets import Refused
from liftmount._internal.models.reasons import Reason

# Refusals that a retry cannot change.
FINAL_REFUSALS = frozenset(
    {
        Reason.UNKNOWN_ADDRESS.value,
        Reason.CALLER_NOT_ALLOWED.value,
        Reason.TOKEN_OTHER_SERVICE.value,
    }
)


class StreamEnded(LiftmountError):
    """A stream cannot continue, for ``reason``."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


@frozen
class StreamEvent:
    """One event of a stream, delivered in order and without gaps."""

    sequence: int
    body: bytes


@define(eq=False)
class CallerFlow:
    """One flow on the caller's side.

    ``inbox`` queues packets for the reader of a stream.  ``waiting`` maps
    request numbers to futures of their outcomes, ``refusals`` to the count
    of refusals received.  ``last_received_ms`` is when the home last sent
    a packet.  ``opened`` is set by each grant, refusal or Rebind that
    arrives; ``refusal`` is the last refusal.  A retired flow takes no new
    requests.
    """

    address: Endpoint
    flow_id: bytes
    inbox: asyncio.Queue = Factory(asyncio.Queue)
    is_stream: bool = False
    token: bytes = b''
    grant: int = 0
    next_number: int = 1
    waiting: dict = Factory(dict)
    refusals: dict = Factory(dict)
    last_received_ms: int = 0
    is_retired: bool = False
    opened: asyncio.Event = Factory(asyncio.Event)
    refusal: Refused | None = None
