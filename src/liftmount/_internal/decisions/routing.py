"""Routing: what a balancer does with a caller's packet.

This holds no state for any flow.  A packet with a token goes to the
flow's home; one that opens a flow goes to the owner of the pool; one
without a token is looked for along the owners of the pool.  What does not
fit the address it was sent to is refused, never guessed.
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
    """What routing needs to know of another balancer."""

    incarnation: int
    reachable: bool


@define
class RoutingState:
    """What one balancer knows when it routes.

    ``services`` maps each address in force to its service,
    ``pool_domains`` each pool to the failure domains of its targets.
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
    """A caller's packet, straight from the fabric or passed on."""

    caller: Endpoint
    address: Endpoint
    packet: object
    hops: int = 0


def decide(state: RoutingState, event: PacketArrived):
    """Return the one action for a packet."""
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
    """Return why a token does not fit the address it came to."""
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
    """Handle a packet whose home is dead, cut off or started anew.

    A stream needs no sequencer, so the pool's owner takes it over from
    its last sequence number.  A request may have reached the old home,
    so nothing is said of whether it ran.
    """
    packet = event.packet
    if isinstance(packet, Close | Cancel):
        # Nothing is left to close; an answer would be taken for news of
        # the flow that came in its place.
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
    """Look for the flow of a packet without a token.

    Its home is the owner of the pool at the time it was opened: now the
    owner, or one of those who owned the pool before.
    """
    if not event.packet.flow_id:
        return RefusePacket(Reason.TOKEN_FORGED, answer=True)
    eligible = set(state.ownership.domains)
    order = [state.owner(service)]
    order += [
        one
        for one in rank(service.pool_key, eligible | {state.name})
        if one not in order
    ]
    order = order[:MAX_OWNERS_TRIED]
    if event.hops == 0 and order[0] != state.name:
        return PassToPeer(order[0])
    if event.hops >= MAX_HOPS_BY_KEY or state.name not in order:
        return HandleByKey(service, None)
    position = order.index(state.name) + 1
    next_peer = order[position] if position < len(order) else None
    return HandleByKey(service, next_peer)
