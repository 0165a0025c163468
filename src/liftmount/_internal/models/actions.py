"""Actions that decisions return and services carry out."""

from attrs import frozen

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.verdict import Outcome


@frozen
class SendRequest:
    """Write a request to a target."""

    target: str
    request_id: int
    service: Service
    body: bytes
    deadline_ms: int


@frozen
class SendCancel:
    """Tell a target that a request was cancelled."""

    target: str
    request_id: int


@frozen
class Reply:
    """Send a caller the final answer to one request."""

    caller: Endpoint
    address: Endpoint
    flow_id: bytes
    number: int
    outcome: Outcome


@frozen
class CountRefusal:
    """Increment the counter of refusals for a reason."""

    reason: Reason


@frozen
class CountRetry:
    """Increment the counter of retries, made or denied, for a reason."""

    reason: Reason


@frozen
class AttachStream:
    """Ask a target to push a stream's events after ``sequence``."""

    target: str
    nonce: int
    service: Service
    name: bytes
    sequence: int


@frozen
class DetachStream:
    """Tell a target that a stream is no longer wanted."""

    target: str
    nonce: int


@frozen
class GrantFlow:
    """Send a caller the token of its flow."""

    caller: Endpoint
    service: Service
    flow_id: bytes
    nonce: int
    target: str
    target_incarnation: int


@frozen
class RefuseFlow:
    """Refuse to open a flow, with the delay before the next attempt."""

    caller: Endpoint
    address: Endpoint
    flow_id: bytes
    reason: Reason
    retry_after_ms: int


@frozen
class SendPush:
    """Send an event of a stream to its caller."""

    caller: Endpoint
    address: Endpoint
    flow_id: bytes
    sequence: int
    body: bytes


@frozen
class AskToRebind:
    """Ask a caller to replace its flow by a new one."""

    caller: Endpoint
    address: Endpoint
    flow_id: bytes
    reason: Reason


@frozen
class PassToPeer:
    """Forward a caller's packet to another balancer."""

    peer: str


@frozen
class HandleAsHome:
    """Handle the packet here, at the home of its flow."""

    service: Service
    nonce: int


@frozen
class HandleOpen:
    """Open a flow here.

    ``target`` and ``target_incarnation`` are those of the flow that the
    new one replaces.
    """

    service: Service
    target: str = ''
    target_incarnation: int = 0


@frozen
class HandleByKey:
    """Look up a flow by the packet's caller and flow id.

    If it is unknown here, the packet is forwarded to ``next_peer``.
    """

    service: Service
    next_peer: str | None


@frozen
class RefusePacket:
    """Refuse a packet; ``answer`` is whether to notify the caller."""

    reason: Reason
    answer: bool = False
    retry_after_ms: int = 0
