"""Routing of a client's packet to the balancer that handles it.

``decide`` takes a ``RoutingState`` and a ``PacketArrived`` and returns one
action.
"""

from liftmount._internal.decisions.routing import decide
from liftmount._internal.decisions.routing import PacketArrived
from liftmount._internal.decisions.routing import PeerView
from liftmount._internal.decisions.routing import RoutingState
from liftmount._internal.models import actions
from liftmount._internal.models import packets
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint

__all__ = (
    'actions',
    'decide',
    'Endpoint',
    'packets',
    'PacketArrived',
    'parse_endpoint',
    'PeerView',
    'RoutingState',
)
