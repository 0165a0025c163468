"""Settings of a process on the platform, from the file it lays there."""

import tomllib

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.entry_settings import EntrySettings
from liftmount._internal.models.problems import Problem
from liftmount.platform.objects import Fields

MS_PER_S = 1_000
# The port that deploy/system.toml names; the settings hold none for it.
METRICS_PORT = 9102


def load_settings(path: str) -> EntrySettings:
    """Read the settings file; fields that are not known are skipped.

    Raises ConfigurationError naming file, key and value.
    """
    try:
        with open(path, 'rb') as stream:
            document = tomllib.load(stream)
        return _read(Fields(path, document))
    except OSError as error:
        problem = Problem(path, '(file)', '', error.strerror or str(error))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        problem = Problem(path, '(file)', '', f'not TOML: {error}')
    except StoredObjectError as error:
        problem = Problem(path, error.field, repr(error.value), error.message)
    raise ConfigurationError([problem])


def _read(fields):
    listen = fields.part('listen')
    packets = listen.endpoint('packets')
    # The first of the ports that are kept free for us, alike everywhere.
    port = fields.numbers('ephemeral_ports')[0]
    # Seeds come as other addresses of the same machines.
    seeds = [Endpoint(one.ip, port) for one in fields.endpoints('seeds')]
    bounds = fields.part('bounds')
    return EntrySettings(
        name=fields.text('node_name'),
        failure_domain=fields.text('zone'),
        packets=packets,
        readiness=listen.endpoint('ready'),
        metrics=Endpoint(packets.ip, METRICS_PORT),
        store=fields.part('platform').endpoint('address'),
        peer=Endpoint(packets.ip, port),
        seeds=tuple(seeds),
        flow_max_age_ms=bounds.number('max_flow_s') * MS_PER_S,
        stop_ms=bounds.number('grace_s') * MS_PER_S,
    )
