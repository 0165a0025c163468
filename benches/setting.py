"""Builders of decision states for measurements and tests."""

from ipaddress import ip_network

from liftmount._internal.decisions import streams
from liftmount._internal.decisions.home import make_home_state
from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.decisions.routing import PeerView
from liftmount._internal.decisions.routing import RoutingState
from liftmount._internal.decisions.token import FlowToken
from liftmount._internal.decisions.token import KeyRing
from liftmount._internal.decisions.token import seal_token
from liftmount._internal.models import events
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.settings import LimitSettings

ADDRESS = Endpoint('10.1.0.1', 443)
CALLER = Endpoint('10.0.0.1', 4000)
NAME = 'lm-1'
DOMAINS = ('a', 'b', 'c')


def make_service(mode='stream') -> Service:
    """Return a sample service."""
    return Service(
        team='firm-a',
        name='guidance',
        mode=mode,
        pool='guidance',
        address=ADDRESS,
        priority='urgent',
        repeatable=False,
        deadline_ms=5_000,
        max_queue=256,
        networks=(ip_network('10.0.0.0/8'),),
    )


def make_routing(members=8, service=None) -> RoutingState:
    """Return the routing state of one balancer among ``members``."""
    state = RoutingState(NAME, 1, KeyRing({1: b'secret' * 5}, 1))
    service = service or make_service()
    state.services = {service.address: service}
    state.pool_domains = {service.pool_key: frozenset(DOMAINS)}
    for number in range(1, members + 1):
        name = f'lm-{number}'
        domain = DOMAINS[number % len(DOMAINS)]
        state.ownership.add(name, domain)
        state.peers[name] = PeerView(1, True)
    return state


def make_token(state: RoutingState, home: str = NAME) -> bytes:
    """Return a sealed token for the sample service."""
    token = FlowToken(
        team='firm-a',
        service='guidance',
        generation=0,
        home=home,
        home_incarnation=1,
        nonce=2**52,
        flow_id=b'12345678',
        target='firm-a/guidance-1',
        failure_domain='a',
        issued_wall_ms=1_790_000_000_000,
    )
    return seal_token(state.ring, token)


def make_home(targets=7, service=None):
    """Return the state of a home with one pool of targets."""
    service = service or make_service()
    home = make_home_state(LimitSettings(max_flows=5_000_000), 'a')
    infos = [
        TargetInfo(f'firm-a/guidance-{n}', DOMAINS[n % len(DOMAINS)])
        for n in range(targets)
    ]
    home.pool_state(service.pool_key).pool.update(infos, 0)
    return home


def open_flow(home, service, index, now_ms=0):
    """Open a stream; return the actions."""
    caller = Endpoint(f'10.{index >> 16 & 255}.{index >> 8 & 255}.1', index)
    requested = events.FlowAsked(
        service=service,
        caller=caller,
        flow_id=index.to_bytes(8, 'big'),
        name=b'',
        sequence=0,
        target='',
        target_incarnation=0,
        nonce=index + 1,
        now_ms=now_ms,
    )
    return streams.decide(home, requested)
