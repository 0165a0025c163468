"""Settings of an entry balancer, which forwards packets of clients."""

from attrs import Factory
from attrs import frozen

from liftmount._internal.models.addresses import Endpoint


@frozen
class EntrySettings:
    """Settings of one balancer.

    ``packets`` is the UDP address that receives packets of clients; resets
    go to the client's address at the same port.  ``readiness`` and
    ``metrics`` are HTTP addresses.  ``peer`` is for traffic with other
    balancers, over UDP and TCP; ``seeds`` are the peer addresses of some of
    them.  State of flows older than ``flow_max_age_ms`` may be dropped.
    ``stop_ms`` limits a graceful shutdown.  A change of routes or targets
    must be in force within ``change_bound_ms`` of its write to the store.
    ``regions`` maps failure domains to their regions.
    ``link_megabits_per_s`` is the capacity of this balancer's link in each
    direction, 0 if unknown.  With ``reports_stalls`` the balancer reports
    stalled targets to its peers.
    """

    name: str
    failure_domain: str
    packets: Endpoint
    readiness: Endpoint
    metrics: Endpoint
    store: Endpoint
    peer: Endpoint
    seeds: tuple[Endpoint, ...]
    flow_max_age_ms: int
    stop_ms: int
    change_bound_ms: int
    regions: dict[str, str] = Factory(dict)
    link_megabits_per_s: float = 0.0
    reports_stalls: bool = False
