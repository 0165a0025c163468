"""Settings of a balancer that stands at the entry of a platform."""

from attrs import Factory
from attrs import frozen

from liftmount._internal.models.addresses import Endpoint


@frozen
class EntrySettings:
    """What one balancer is told about itself and its surroundings.

    ``packets`` takes datagrams; clients get resets at its port number.
    ``peer`` is for other balancers, over UDP and TCP; ``seeds`` are such
    addresses of a few of them.  ``metrics`` serves counters.  A flow older
    than ``flow_max_age_ms`` may be forgotten; a planned stop may take
    ``stop_ms``.  A change of routes or targets has to be in force
    ``change_bound_ms`` after the store took it.  ``regions`` maps failure
    domains to the region in which each lies.  ``link_megabits_per_s`` is the
    rate of the own link each way, 0 if that is not known.  A balancer that
    ``reports_stalls`` tells the others of targets that give no answer.
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
