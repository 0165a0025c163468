"""Steps for settings, documents, statsd and the operators' tool."""

import ast
import copy
import json
from pathlib import Path
import re
import socket
import subprocess
import sys
import time

import attrs
from behave import given
from behave import then
from behave import when
import tomli_w

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import parse_team
from liftmount._internal.models.configuration import parse_template
from liftmount._internal.models.configuration import resolve_services
from liftmount._internal.models.reasons import Reason
from liftmount._internal.models.settings import Settings
from liftmount._internal.models.settings import StatsdSettings
from liftmount._internal.utils.counters import Counters
from stand_ins.calls import call
from stand_ins.deployment import PROGRAMS

ROOT = Path(__file__).parents[3]
GOOD_SETTINGS = {
    'instance': {'name': 'lm-1', 'failure_domain': 'a'},
    'listen': {
        'fabric': '127.0.0.1:0',
        'peer': '127.0.0.1:0',
        'control': '127.0.0.1:0',
    },
    'fabric': {'return_address': '127.0.0.1:9'},
    'platform': {'addresses': ['127.0.0.1:9']},
    'limits': {},
    'log': {},
    'lease': {},
    'membership': {},
}
TEMPLATE = {
    'name': 'delivery-firm',
    'services': [{'name': 'guidance', 'mode': 'stream', 'pool': 'guidance'}],
}
TEAM = {
    'name': 'firm-a',
    'template': 'delivery-firm',
    'addresses': {'guidance': '10.1.0.1:443'},
    'caller_prefixes': ['10.0.0.0/16'],
    'services': {},
    'targets': [
        {
            'name': f'guidance-{n}',
            'pool': 'guidance',
            'address': f'10.2.0.{n}:9000',
            'failure_domain': 'a',
        }
        for n in (1, 2)
    ],
}

TIMEOUT_S = 15.0


@given('valid settings')
def valid_settings(context):
    context.settings = copy.deepcopy(GOOD_SETTINGS)
    context.path = Path(context.directory) / 'liftmountd.toml'


@when('"{key}" is set to {value}')
def set_key(context, key, value):
    section, _separator, name = key.partition('.')
    context.settings[section][name] = ast.literal_eval(value)


@given('a settings file that {state}')
def unreadable_file(context, state):
    context.settings = None
    context.path = Path(context.directory) / 'liftmountd.toml'
    if state == 'is not TOML':
        context.path.write_text('[instance\nname=')
    elif state == 'is not text':
        context.path.write_bytes(b'\xff\xfe\x00')


@then('the daemon exits with status {status:d}')
def daemon_exits(context, status):
    if context.settings is not None:
        context.path.write_text(tomli_w.dumps(context.settings))
    context.done = subprocess.run(
        [
            sys.executable,
            '-m',
            PROGRAMS,
            'daemon',
            '--settings',
            str(context.path),
        ],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert context.done.returncode == status, context.done


@then('the error names the file, "{key}" and {shown}')
def error_names(context, key, shown):
    text = context.done.stderr
    assert str(context.path) in text, text
    assert key in text or key.rpartition('.')[0] in text, text
    assert shown in text, text


@then('the error names the file')
def error_names_file(context):
    assert str(context.path) in context.done.stderr, context.done.stderr


@then('the error has {count:d} lines')
def error_lines(context, count):
    lines = context.done.stderr.strip().splitlines()
    assert len(lines) == count, lines


@given('a valid team')
def valid_team(context):
    context.team = copy.deepcopy(TEAM)
    resolve_team(context.team)


def resolve_team(document):
    team = parse_team(document, 'team.toml')
    template = parse_template(TEMPLATE, 'template.toml')
    return resolve_services(team, template, 'team.toml')


@when('the team\'s "{key}" is set to {value}')
def change_team(context, key, value):
    *parents, last = key.split('.')
    container = context.team
    for part in parents:
        container = (
            container[int(part)] if part.isdecimal() else container[part]
        )
    container[last] = ast.literal_eval(value)


@then('the team is refused at "{key}" with "{message}"')
def team_refused(context, key, message):
    try:
        resolve_team(context.team)
    except ConfigurationError as error:
        lines = [str(problem) for problem in error.problems]
    else:
        raise AssertionError('the team was accepted')
    matching = [line for line in lines if key in line and message in line]
    assert matching, lines
    assert all(line.startswith('team.toml: ') for line in lines), lines


def settings_keys(kind=Settings, prefix=''):
    """Return the dotted path of every settings key."""
    keys = []
    for item in attrs.fields(kind):
        nested = [
            one
            for one in (item.type, *getattr(item.type, '__args__', ()))
            if isinstance(one, type) and attrs.has(one)
            and one.__name__.endswith('Settings')
        ]  # fmt: skip
        if nested:
            keys += settings_keys(nested[0], f'{prefix}{item.name}.')
        else:
            keys.append(f'{prefix}{item.name}')
    return keys


@then('docs/operators/settings.md lists every key of the settings')
def settings_page(_context):
    text = (ROOT / 'docs/operators/settings.md').read_text()
    keys = settings_keys()
    assert len(keys) > 30, keys
    missing = [key for key in keys if f'`{key}`' not in text]
    assert not missing, missing
    listed = re.findall(r'^\| `([a-z_.]+)`', text, re.MULTILINE)
    stale = set(listed) - set(keys)
    assert not stale, stale


@then('docs/operators/counters.md lists every reason')
def counters_page(_context):
    text = (ROOT / 'docs/operators/counters.md').read_text()
    listed = set(re.findall(r'^\| `([a-z_]+)`', text, re.MULTILINE))
    reasons = {reason.value for reason in Reason}
    assert listed == reasons, listed ^ reasons


@given('a "{plan}" deployment and its documents')
def deployment_and_documents(context, plan):
    context.execute_steps(f'Given a "{plan}" deployment')


@when('the operator runs "{arguments}"')
def operator_runs(context, arguments):
    deployment = context.deployment
    replaced = {
        '$CONTROL': deployment.control_address('lm-1'),
        '$DIR': str(context.directory),
        '$ADDRESS': deployment.service_address('firm-a', 'guidance'),
    }
    for name, value in replaced.items():
        arguments = arguments.replace(name, value)
    context.done = deployment.tool(*arguments.split(), check=False)


@then('the tool exits with status {status:d} and prints "{text}"')
def tool_exits(context, status, text):
    done = context.done
    assert done.returncode == status, (done.returncode, done)
    assert text in done.stdout + done.stderr, done


@then('the tool exits with status {status:d} and prints nothing')
def tool_is_silent(context, status):
    done = context.done
    assert done.returncode == status, (done.returncode, done)
    assert not done.stdout + done.stderr, done


def evacuated_at_owner(context):
    """Return the domains with evacuated targets, None if unknown."""
    deployment = context.deployment
    address = deployment.service_address('firm-a', 'guidance')
    for name in deployment.balancers:
        control = deployment.control_address(name)
        arguments = ('flow', 'explain', address, '--control', control)
        done = deployment.tool(*arguments, check=False)
        if done.returncode == 0 and 'targets' in json.loads(done.stdout):
            targets = json.loads(done.stdout)['targets'].values()
            return {
                one['failure_domain'] for one in targets if one['evacuated']
            }
    return None


@then('the owner of guidance of firm-a eventually shows {name} as evacuated')
def owner_shows_evacuated(context, name):
    wanted = set() if name == 'none' else {name}
    until = time.monotonic() + TIMEOUT_S
    while (found := evacuated_at_owner(context)) != wanted:
        assert time.monotonic() < until, found
        time.sleep(0.2)


@then('the tool prints the time of the evacuation of {domain} and its writer')
def prints_evacuation(context, domain):
    rows = {
        row['failure_domain']: row for row in json.loads(context.done.stdout)
    }
    shown = rows[domain]['evacuated']
    assert re.fullmatch(r'20\d\d-.*Z by \w+', shown), shown
    others = {row['evacuated'] for row in rows.values()} - {shown}
    assert others <= {'-'}, others


@then('the tool prints JSON')
def prints_json(context):
    json.loads(context.done.stdout)


@when('another team with the addresses of firm-a is applied')
def clashing_team(context):
    deployment = context.deployment
    document = deployment.team_document('firm-a')
    document['name'] = 'firm-c'
    document['targets'] = []
    path = Path(context.directory) / 'firm-c.toml'
    path.write_text(tomli_w.dumps(document))
    context.done = deployment.tool('team', 'apply', str(path), check=False)


@when('the platform becomes unavailable')
def platform_becomes_unavailable(context):
    context.deployment.platform_faults(down=True)


@given('a statsd socket')
def statsd_socket(context):
    context.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.statsd.bind(('127.0.0.1', 0))
    context.statsd.settimeout(10)


@when('each reason is counted once and 3 packets are forwarded')
def count_all(context):
    address = Endpoint(*context.statsd.getsockname())
    counters = Counters(StatsdSettings(address))
    for reason in Reason:
        if reason.value.startswith('retry_'):
            counters.retried(reason)
        else:
            counters.refused(reason)
    counters.count('passed', 3)
    counters.flush()


@then('the socket receives a counter for each reason and "{last}"')
def counters_received(context, last):
    expected = {last}
    for reason in Reason:
        kind = 'retried' if reason.value.startswith('retry_') else 'refused'
        expected.add(f'liftmount.{kind}.{reason.value}:1|c')
    found = set()
    while not expected <= found:
        found |= set(context.statsd.recv(65_535).decode().split('\n'))
    context.statsd.close()


@when('the operator watches the status while firm-a is changed')
def watch_status(context):
    deployment = context.deployment
    command = [sys.executable, '-u', '-m', PROGRAMS, 'tool']
    command += ['--platform', deployment.platform, 'status', '--watch']
    watch = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.revisions = set()
    try:
        document = deployment.team_document('firm-a')
        for line in watch.stdout:
            found = re.match(r'a +in force +\S+ +\d+ +(\d+)', line)
            if not found:
                continue
            if not context.revisions:
                document['services'] = {'tiles': {'deadline_ms': 7_000}}
                deployment.apply('team', document)
            context.revisions.add(found.group(1))
            if len(context.revisions) > 1:
                break
    finally:
        watch.kill()
        watch.wait()
        watch.stdout.close()


@then('the watch has printed two revisions')
def two_revisions(context):
    assert len(context.revisions) == 2, context.revisions


@when('the load endpoint of a target reports 42 for its load')
def override_load(context):
    deployment = context.deployment
    deployment.set_target('guidance-1', 'firm-a', lies=42, lag_ms=10_000)
    plan = deployment.target_plans[0]
    context.load = call(plan['address'], '/load')
    context.health = call(plan['address'], '/health')


@then('it shows load 42 and health ok')
def shows_override(context):
    assert context.load.strip() == '42', context.load
    assert context.health.strip() == 'ok', context.health
