"""Plans of the deployments that tests, benches and the demo run."""

from attrs import Factory
from attrs import frozen

FAST = 4.0
SLOW = 1.0
SEVEN_SPEEDS = (FAST, SLOW, SLOW, FAST, SLOW, SLOW, FAST)


@frozen
class PoolPlan:
    """Targets of one pool: the speed of each, and slots per target."""

    name: str
    speeds: tuple
    slots: int


@frozen
class ServicePlan:
    """A service of the template, and its load per team.

    For requests ``load`` is the share of the pool's capacity; streams have
    ``streams`` instead.  ``spread`` is the coefficient of variation of the
    work per request.
    """

    name: str
    mode: str
    pool: str
    priority: str
    repeatable: bool = False
    deadline_ms: int = 5_000
    streams: int = 0
    interval_ms: int = 2_000
    load: float = 0.0
    work_ms: float = 0.0
    spread: float = 0.5
    answer_bytes: int = 200


@frozen
class DeploymentPlan:
    """One deployment; ``domains`` maps names to numbers of balancers."""

    name: str
    domains: dict
    template: str
    teams: tuple
    pools: tuple
    services: tuple = Factory(tuple)


def montevideo(streams: int = 2_000) -> DeploymentPlan:
    """Return a van routing platform: three teams, three domains."""
    return DeploymentPlan(
        name='montevideo',
        domains={'centro': 3, 'cordon': 3, 'pocitos': 2},
        template='delivery-firm',
        teams=('firm-a', 'firm-b', 'firm-c'),
        pools=(
            PoolPlan('guidance', SEVEN_SPEEDS, 3),
            PoolPlan('tiles', (FAST, SLOW, SLOW), 3),
        ),
        services=(
            ServicePlan(
                'guidance', 'stream', 'guidance', 'urgent',
                streams=streams // 3,
            ),
            ServicePlan(
                'confirmations', 'request', 'guidance', 'urgent',
                deadline_ms=6_000, load=0.7, work_ms=600.0,
            ),
            ServicePlan(
                'tiles', 'request', 'tiles', 'may-wait', repeatable=True,
                deadline_ms=20_000, load=0.6, work_ms=900.0,
                answer_bytes=20_000,
            ),
        ),
    )  # fmt: skip


def kathmandu(streams: int = 2_000) -> DeploymentPlan:
    """Return a materials index: one team, four domains."""
    return DeploymentPlan(
        name='kathmandu',
        domains={'asan': 2, 'boudha': 2, 'kirtipur': 2, 'patan': 2},
        template='materials',
        teams=('index',),
        pools=(
            PoolPlan('index', SEVEN_SPEEDS, 2),
            PoolPlan('spectra', (FAST, SLOW, SLOW, SLOW), 2),
        ),
        services=(
            ServicePlan(
                'alloy-watch', 'stream', 'index', 'urgent', streams=streams
            ),
            ServicePlan(
                'lookups', 'request', 'index', 'normal',
                deadline_ms=6_000, load=0.75, work_ms=400.0,
            ),
            ServicePlan(
                'spectra', 'request', 'spectra', 'may-wait', repeatable=True,
                deadline_ms=30_000, load=0.7, work_ms=900.0,
                answer_bytes=60_000,
            ),
        ),
    )  # fmt: skip


def small(streams: int = 24) -> DeploymentPlan:
    """Return a small deployment with two teams, for tests of faults."""
    return DeploymentPlan(
        name='small',
        domains={'a': 2, 'b': 2, 'c': 2},
        template='firm',
        teams=('firm-a', 'firm-b'),
        pools=(PoolPlan('guidance', (FAST, SLOW, FAST, SLOW), 3),),
        services=(
            ServicePlan(
                'guidance', 'stream', 'guidance', 'urgent',
                streams=streams, interval_ms=300,
            ),
            ServicePlan(
                'confirmations', 'request', 'guidance', 'urgent',
                deadline_ms=5_000, load=0.25, work_ms=300.0,
            ),
            ServicePlan(
                'tiles', 'request', 'guidance', 'may-wait', repeatable=True,
                deadline_ms=8_000, load=0.15, work_ms=300.0,
                answer_bytes=12_000,
            ),
        ),
    )  # fmt: skip


DEPLOYMENTS = {'montevideo': montevideo, 'kathmandu': kathmandu}
ALL_PLANS = {**DEPLOYMENTS, 'small': small}
