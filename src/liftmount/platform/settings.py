"""Settings of a process on the platform, from the file it lays there.

deploy/system.toml has the file filled as JSON, which is read without a
module that the store's answers don't need as well: reading TOML adds 13 ms
of processor time (median of 31 processes) to a start before the first
packet.  The platform's own form is TOML.
"""

import json

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.entry_settings import EntrySettings
from liftmount.platform.objects import Fields
from liftmount.platform.objects import MS_PER_S

# The port that deploy/system.toml names; the settings hold none for it.
METRICS_PORT = 9102
# Names the rules on targets that say that they are well.
HEALTH_CONTRACT = 'health'
# Where the file names no bound for changes: the tightest one in use.
DEFAULT_CHANGE_BOUND_MS = 3_000


def load_settings(path: str) -> EntrySettings:
    """Read the settings file; fields that are not known are skipped.

    Raises ConfigurationError naming file, key and value.
    """
    try:
        with open(path, encoding='utf-8') as stream:
            document = _parse(stream.read())
        return _read_settings(Fields(path, document))
    except OSError as error:
        raise _make_error(path, error.strerror or str(error)) from error
    except ValueError as error:
        raise _make_error(path, f'not JSON or TOML: {error}') from error
    except StoredObjectError as error:
        raise _make_error(
            path, error.message, error.field, repr(error.value)
        ) from error


def _make_error(path, message, field='(file)', value=''):
    # A start does without, unless there is something to refuse.
    from liftmount._internal.models.problems import Problem

    return ConfigurationError([Problem(path, field, value, message)])


def _parse(text):
    """Return the document that a text holds; raises ValueError."""
    if text.startswith('{'):
        return json.loads(text)
    import tomllib

    return tomllib.loads(text)


def _read_settings(fields):
    listen = fields.section('listen')
    packets = listen.endpoint('packets')
    # The first of the ports that are kept free for us, alike everywhere.
    port = fields.integers('ephemeral_ports')[0]
    # Seeds come as other addresses of the same machines.
    seeds = [Endpoint(one.ip, port) for one in fields.endpoints('seeds')]
    bounds = fields.section('bounds')
    change_bound_ms = min(
        bounds.number(name, DEFAULT_CHANGE_BOUND_MS)
        for name in ('drain_ms', 'config_ms')
    )
    return EntrySettings(
        name=fields.string('node_name'),
        failure_domain=fields.string('zone'),
        packets=packets,
        readiness=listen.endpoint('ready'),
        metrics=Endpoint(packets.ip, METRICS_PORT),
        store=fields.section('platform').endpoint('address'),
        peer=Endpoint(packets.ip, port),
        seeds=tuple(seeds),
        flow_max_age_ms=bounds.number('max_flow_s') * MS_PER_S,
        stop_ms=bounds.number('grace_s') * MS_PER_S,
        change_bound_ms=min(
            change_bound_ms, bounds.number('evacuate_ms', change_bound_ms)
        ),
        regions=fields.string_map('zones'),
        shares_doubts=HEALTH_CONTRACT in fields.strings('contracts'),
        link_megabits_per_s=fields.section('limits').float_number(
            'link_mbps', 0
        ),
    )
