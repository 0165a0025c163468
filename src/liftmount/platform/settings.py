"""Reads the settings file that the platform writes for a process.

The file is JSON, as deploy/system.toml configures it, or TOML, the platform's
default.  JSON makes a start faster, as its parser is needed for the store's
responses anyway.
"""

import json
import os

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.exceptions import StoredObjectError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.entry_settings import EntrySettings
from liftmount.platform.objects import Fields
from liftmount.platform.objects import MS_PER_S

# Has to match deploy/system.toml; the settings do not contain it.
METRICS_PORT = 9102
# The contract by which targets report their health.
HEALTH_CONTRACT = 'health'
# Used if the file has no bound for changes.
# It is the tightest bound in use.
DEFAULT_CHANGE_BOUND_MS = 3_000


def load_settings(path: str) -> EntrySettings:
    """Return the settings in the file at ``path``.

    Unknown fields are ignored.  Raises ConfigurationError naming file, key
    and value.
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


def read_stamp(path: str) -> object:
    """Return a value that changes with the settings file at ``path``."""
    try:
        found = os.stat(path)
    except OSError as error:
        return error.errno
    # A copy may keep the time of another file, but not its inode.
    return found.st_mtime_ns, found.st_ino, found.st_size


def _make_error(path, message, field='(file)', value=''):
    # Imported here as a start with valid settings does not need it.
    from liftmount._internal.models.problems import Problem

    return ConfigurationError([Problem(path, field, value, message)])


def _parse(text):
    """Parse a JSON object or TOML; raises ValueError."""
    if text.startswith('{'):
        return json.loads(text)
    import tomllib

    return tomllib.loads(text)


def _read_settings(fields):
    listen = fields.section('listen')
    packets = listen.endpoint('packets')
    # The first of the ports reserved for balancers, the same on all hosts.
    port = fields.integers('ephemeral_ports')[0]
    # Seeds are given with another port of the same hosts.
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
        reports_stalls=HEALTH_CONTRACT in fields.strings('contracts'),
        link_megabits_per_s=fields.section('limits').float_number(
            'link_mbps', 0
        ),
    )
