"""Routing: what a balancer does with a caller's packet.

Routing holds no state per flow.  A packet with a token goes to the flow's
home, and a packet that opens a flow to the owner of the pool.  Any other
packet is looked up by its caller and flow id, at the likely owners of the
pool one after another.  A token that does not match the service at the
packet's address is refused.
"""

from functools import lru_cache
from ipaddress import ip_address

from attrs import define
from attrs import Factory
from attrs import frozen

from liftmount._internal.decisions.ownership import Ownership
from liftmount._internal.decisions.ownership import rank
from liftmount._internal.decisions.token import KeyRing
from liftmount._internal.decisions.token import open_token
from liftmount._internal.exceptions import TokenError
from liftmount._internal.models.actions import HandleAsHome
from liftmount._internal.models.actions import HandleByKey
from liftmount._internal.models.actions import HandleOpen
from liftmount._internal.models.actions import PassToPeer
from liftmount._internal.models.actions import RefusePacket
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.packets import Cancel
from liftmount._internal.models.packets import Close
from liftmount._internal.models.packets import Keepalive
from liftmount._internal.models.packets import Open
from liftmount._internal.models.packets import Request
from liftmount._internal.models.reasons import Reason

MAX_HOPS = 2
MAX_HOPS_BY_KEY = 3
MAX_OWNERS_TRIED = 3
RETRY_AFTER_MS = 250


@frozen
class PeerView:
    """What routing needs to know about another balancer."""

    incarnation: int
    reachable: bool


@define
class RoutingState:
    """The routing state of one balancer.

    ``services`` maps each address in force to its service, and
    ``pool_domains`` maps each pool to the failure domains of its targets.
    ``leaving`` is set while this balancer shuts down.
    """

    name: str
    incarnation: int
    ring: KeyRing = Factory(KeyRing)
    services: dict[Endpoint, Service] = Factory(dict)
    pool_domains: dict[str, frozenset] = Factory(dict)
    peers: dict[str, PeerView] = Factory(dict)
    ownership: Ownership = Factory(Ownership)
    leaving: bool = False

    def owner(self, service: Service) -> str:
        """Return the balancer that opens the flows of a service."""
        domains = self.pool_domains.get(service.pool_key, frozenset())
        return self.ownership.owner(service.pool_key, domains) or self.name


@frozen
class PacketArrived:
    """A caller's packet, received directly or forwarded by a peer."""

    caller: Endpoint
    address: Endpoint
    packet: object
    hops: int = 0


def decide(state: RoutingState, event: PacketArrived):
    """Return the action for a packet."""
    service = state.services.get(event.address)
    if service is None:
        return RefusePacket(Reason.UNKNOWN_ADDRESS)
    if not _is_allowed(event.caller.ip, service.networks):
        return RefusePacket(Reason.CALLER_NOT_ALLOWED)
    match event.packet:
        case Open():
            return _route_open(state, event, service)
        case Request() | Cancel() | Keepalive() | Close():
            return _route_to_home(state, event, service)
        case _:
            return RefusePacket(Reason.MALFORMED_PACKET)


@lru_cache(maxsize=65_536)
def _is_allowed(ip, networks):
    address = ip_address(ip)
    return any(address in network for network in networks)


def _route_open(state, event, service):
    target = ''
    target_incarnation = 0
    if event.packet.token:
        try:
            token = open_token(state.ring, event.packet.token)
        except TokenError as error:
            return RefusePacket(error.reason, answer=True)
        if _find_mismatch(token, service) is None:
            target = token.target
            target_incarnation = token.target_incarnation
    owner = state.owner(service)
    if owner != state.name and event.hops < MAX_HOPS:
        return PassToPeer(owner)
    if state.leaving:
        return RefusePacket(
            Reason.BALANCER_LEAVING, True, retry_after_ms=RETRY_AFTER_MS
        )
    return HandleOpen(service, target, target_incarnation)


def _find_mismatch(token, service):
    """Return why a token does not match a service, or None."""
    if (token.team, token.service) != (service.team, service.name):
        return Reason.TOKEN_OTHER_SERVICE
    if token.generation != service.generation:
        return Reason.ADDRESS_CHANGED_HANDS
    return None


def _route_to_home(state, event, service):
    if not event.packet.token:
        return _route_by_key(state, event, service)
    try:
        token = open_token(state.ring, event.packet.token)
    except TokenError as error:
        return RefusePacket(error.reason, answer=True)
    reason = _find_mismatch(token, service)
    if reason is not None:
        return RefusePacket(reason, answer=True)
    if token.home == state.name:
        if token.home_incarnation == state.incarnation:
            return HandleAsHome(service, token.nonce)
        return _route_without_home(state, event, service, token)
    peer = state.peers.get(token.home)
    if peer is None or peer.incarnation != token.home_incarnation:
        return _route_without_home(state, event, service, token)
    if not peer.reachable:
        return _route_without_home(state, event, service, token)
    if event.hops >= MAX_HOPS:
        return RefusePacket(Reason.TOO_MANY_HOPS)
    return PassToPeer(token.home)


def _route_without_home(state, event, service, token):
    """Route a packet whose home is dead, unreachable or restarted.

    A stream needs no sequencer, so the owner of the pool continues it from
    the caller's sequence number.  A request may have reached the old home,
    so the answer makes no statement on whether it ran.
    """
    packet = event.packet
    if isinstance(packet, Close | Cancel):
        # The caller would apply an answer to the flow that replaced it.
        return RefusePacket(Reason.HOME_GONE)
    if not isinstance(packet, Keepalive) or service.mode != 'stream':
        return RefusePacket(Reason.HOME_GONE, answer=True)
    owner = state.owner(service)
    if owner != state.name and event.hops < MAX_HOPS:
        return PassToPeer(owner)
    if state.leaving:
        return RefusePacket(Reason.HOME_GONE, answer=True)
    return HandleOpen(service, token.target, token.target_incarnation)


def _route_by_key(state, event, service):
    """Route a packet without a token by its caller and flow id.

    The flow's home owned the pool when the flow was opened, so it is the
    present owner or a member that ranks just below it.
    """
    if not event.packet.flow_id:
        return RefusePacket(Reason.TOKEN_FORGED, answer=True)
    eligible = set(state.ownership.domains)
    owners = [state.owner(service)]
    owners += [
        member
        for member in rank(service.pool_key, eligible | {state.name})
        if member not in owners
    ]
    owners = owners[:MAX_OWNERS_TRIED]
    if event.hops == 0 and owners[0] != state.name:
        return PassToPeer(owners[0])
    if event.hops >= MAX_HOPS_BY_KEY or state.name not in owners:
        return HandleByKey(service, None)
    position = owners.index(state.name) + 1
    next_peer = owners[position] if position < len(owners) else None
    return HandleByKey(service, next_peer)
