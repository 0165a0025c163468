"""Settings of one daemon, read from its TOML file."""

from pathlib import Path

from attrs import Factory
from attrs import frozen

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.utils import checks
from liftmount._internal.utils.documents import check_fields
from liftmount._internal.utils.documents import checked
from liftmount._internal.utils.documents import read_toml
from liftmount._internal.utils.documents import structure

HOUR_MS = 3_600_000
DAY_MS = 24 * HOUR_MS


@frozen
class InstanceSettings:
    """Name and location of this instance."""

    name: str = checked(checks.name, help_text='Unique name.')
    failure_domain: str = checked(
        checks.name, help_text='Failure domain of the instance.'
    )
    region: str = checked(
        checks.name, 'default', help_text='Region of the failure domain.'
    )


@frozen
class ListenSettings:
    """Addresses that the daemon binds; port 0 takes any free port."""

    fabric: Endpoint = checked(None, help_text='UDP, packets of callers.')
    peer: Endpoint = checked(None, help_text='UDP, other balancers.')
    control: Endpoint = checked(None, help_text='TCP, control traffic.')


@frozen
class AdvertiseSettings:
    """Addresses announced to peers, where they differ from those bound."""

    peer: Endpoint | None = checked(None, None, 'UDP, other balancers.')
    control: Endpoint | None = checked(None, None, 'TCP, control traffic.')


@frozen
class FabricSettings:
    """Address of the fabric that takes packets to callers."""

    return_address: Endpoint = checked(None, help_text='UDP, to callers.')


@frozen
class PlatformSettings:
    """Addresses and timeouts of the platform's store."""

    addresses: list[Endpoint] = checked(
        lambda value: None if value else 'expected at least one',
        help_text='HTTP addresses, tried in turn.',
    )
    timeout_ms: int = checked(
        checks.between(50, 60_000), 2_000, 'Limit of one call.'
    )
    watch_ms: int = checked(
        checks.between(100, 600_000), 10_000, 'Length of one watch.'
    )
    poll_ms: int = checked(
        checks.between(100, 600_000),
        1_000,
        'Interval at which the lease holder reads the instance list.',
    )


@frozen
class SeedSettings:
    """A configured peer, from which the others are discovered."""

    peer: Endpoint = checked(None, help_text='UDP address of the seed.')
    control: Endpoint = checked(None, help_text='TCP address of the seed.')


@frozen
class StatsdSettings:
    """Address that counters are sent to; without it they are logged."""

    address: Endpoint = checked(None, help_text='UDP address of statsd.')
    prefix: str = checked(None, 'liftmount', 'First part of each name.')


@frozen
class LogSettings:
    """Verbosity of the log."""

    level: str = checked(
        checks.one_of('debug', 'info', 'warning', 'error'),
        'info',
        'Lowest level that is logged.',
    )


@frozen
class LimitSettings:
    """Limits of one daemon."""

    max_flows: int = checked(
        checks.between(1, 5_000_000), 400_000, 'Flows held at once.'
    )
    flow_idle_ms: int = checked(
        checks.between(1_000, DAY_MS),
        HOUR_MS,
        'A flow without packets for this long is forgotten.',
    )
    answer_keep_ms: int = checked(
        checks.between(100, 600_000),
        10_000,
        'How long an answer is kept for callers who missed it.',
    )
    answer_keep_bytes: int = checked(
        checks.between(0, 2**31),
        16_777_216,
        'Memory for kept answers.',
    )
    stop_ms: int = checked(
        checks.between(100, HOUR_MS),
        30_000,
        'Longest planned stop; then the daemon exits regardless.',
    )
    control_bytes_per_second: int = checked(
        checks.between(100, 1_000_000),
        2_000,
        'Budget for membership traffic, kept by the sender.',
    )
    max_connections: int = checked(
        checks.between(1, 10_000), 512, 'Connections to targets.'
    )


@frozen
class LeaseSettings:
    """Durations of a failure domain's lease and of its token keys."""

    duration_ms: int = checked(
        checks.between(500, 600_000), 4_000, 'Length of the lease.'
    )
    key_rotation_ms: int = checked(
        checks.between(500, 365 * DAY_MS), DAY_MS, 'Age of a new key.'
    )
    key_overlap_ms: int = checked(
        checks.between(1_000, 365 * DAY_MS),
        7 * DAY_MS,
        'How long an old key still opens tokens; longer than any flow.',
    )


@frozen
class MembershipSettings:
    """Timing of the failure detector (SWIM)."""

    period_ms: int = checked(
        checks.between(20, 60_000), 500, 'Interval between probes.'
    )
    probe_timeout_ms: int = checked(
        checks.between(10, 60_000), 150, 'Wait before indirect probes.'
    )
    suspicion_ms: int = checked(
        checks.between(50, 600_000), 1_200, 'Suspected for this long: dead.'
    )


@frozen
class Settings:
    """All settings of one daemon."""

    instance: InstanceSettings
    listen: ListenSettings
    fabric: FabricSettings
    platform: PlatformSettings
    advertise: AdvertiseSettings = Factory(AdvertiseSettings)
    seeds: list[SeedSettings] = Factory(list)
    statsd: StatsdSettings | None = None
    log: LogSettings = Factory(LogSettings)
    limits: LimitSettings = Factory(LimitSettings)
    lease: LeaseSettings = Factory(LeaseSettings)
    membership: MembershipSettings = Factory(MembershipSettings)


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Raises ConfigurationError that lists every problem of the file.
    """
    settings = structure(read_toml(path), Settings, str(path))
    problems = check_fields(settings, str(path))
    if problems:
        raise ConfigurationError(problems)
    return settings
