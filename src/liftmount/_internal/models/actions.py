"""Actions that decisions ask of the services around them."""

from attrs import frozen

from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.verdict import Outcome


@frozen
class SendRequest:
    """Write a request to a target, once."""

    target: str
    request_id: int
    service: Service
    body: bytes
    deadline_ms: int


@frozen
class SendCancel:
    """Tell a target that nobody waits for a request."""

    target: str
    request_id: int


@frozen
class Reply:
    """Give a caller the final answer to one request."""

    caller: Endpoint
    address: Endpoint
    flow_id: bytes
    number: int
    outcome: Outcome


@frozen
class CountRefusal:
    """Count a refusal."""

    reason: Reason


@frozen
class CountRetry:
    """Count a retry, or one that was not allowed."""

    reason: Reason


@frozen
class AttachStream:
    """Ask a target to push a stream, starting after ``sequence``."""

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
    """Answer a caller with the token of its flow."""

    caller: Endpoint
    service: Service
    flow_id: bytes
    nonce: int
    target: str
    target_incarnation: int


@frozen
class RefuseFlow:
    """Tell a caller that it gets no flow, and when to come back."""

    caller: Endpoint
    address: Endpoint
    flow_id: bytes
    reason: Reason
    retry_after_ms: int


@frozen
class SendPush:
    """Hand an event of a stream to its caller."""

    caller: Endpoint
    address: Endpoint
    flow_id: bytes
    sequence: int
    body: bytes


@frozen
class AskToRebind:
    """Tell a caller to open another flow in place of this one."""

    caller: Endpoint
    address: Endpoint
    flow_id: bytes
    reason: Reason


@frozen
class PassToPeer:
    """Hand a caller's packet to another balancer."""

    peer: str


@frozen
class HandleAsHome:
    """This balancer is the home of the packet's flow."""

    service: Service
    nonce: int


@frozen
class HandleOpen:
    """This balancer opens the flow; ``token`` is of the one replaced."""

    service: Service
    target: str = ''
    target_incarnation: int = 0


@frozen
class HandleByKey:
    """Look for a flow of the packet's caller without a token.

    ``next_peer`` may know the flow if this balancer does not.
    """

    service: Service
    next_peer: str | None


@frozen
class RefusePacket:
    """Refuse a packet; ``answer`` says whether the caller is told."""

    reason: Reason
    answer: bool = False
    retry_after_ms: int = 0
