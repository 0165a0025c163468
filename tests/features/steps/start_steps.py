"""Steps for the imports of a balancer and of the platform adapter."""

import importlib
import os
from pathlib import Path
import re
import subprocess
import sys
import tomllib

from behave import given
from behave import then
from behave import when

from bundling.archive import ENTRIES
from liftmount._internal.utils.import_hook import ImportHook
from liftmount.platform.settings import METRICS_PORT
from stand_ins.programs import balancer_command

SOURCE = Path('src/liftmount')
ADAPTER = SOURCE / 'platform'
NO_ADDRESS = 'none'
# The first module that the launcher imports once it handles signals.
FIRST_IMPORT = 'resource'
LIST_MODULES = (
    "import sys; sys.modules['ssl'] = None; import {imported};"
    "print('\\n'.join(name for name, one in sys.modules.items() if one))"
)
FIRST_PACKET = ', '.join(ENTRIES[:1])
START = ', '.join(ENTRIES[:2])
# Field names that only the platform uses, without common words.
FIELDS = re.compile(
    'warmup_left_ms|path_prefix|weighted_backends|current_rev|more_pages|'
    'ephemeral_ports|allow_stale|created_rev|node_name|max_flow_s|'
    'heartbeat_ms|health_check_path|idle_timeout_ms|non_idempotent'
)


IMPORTS = re.compile(r'^\s*(from|import) liftmount\.platform\b', re.MULTILINE)


def imported(modules):
    """Return the names of all modules that a bare Python then holds."""
    done = subprocess.run(
        [sys.executable, '-S', '-c', LIST_MODULES.format(imported=modules)],
        capture_output=True,
        text=True,
        check=True,
        env={'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    return done.stdout.split()


# Runs a program until it sets a handler for SIGHUP, then lists the modules
# that were imported by then, and whether SIGTERM has a handler.
RUN_UNTIL_HANGUP = """
import _signal, pkgutil, runpy, signal, sys
before = set(sys.modules)
handled = []
def record(number, handler):
    handled.append(number)
    if number == _signal.SIGHUP:
        print(_signal.SIGTERM in handled)
        print(*sorted(set(sys.modules) - before))
        raise SystemExit
_signal.signal = record
{run}
"""
HANGUP_PROGRAMS = {
    'the launcher': (
        "runpy.run_path('src/liftmount/platform/launcher.py', "
        "run_name='__main__')"
    ),
    'liftmount.platform': (
        "runpy.run_module('liftmount.platform', run_name='__main__')"
    ),
    'liftmountd': ('from liftmount.platform.programs import daemon; daemon()'),
}


@when('{program} has run until it ignores SIGHUP')
def run_until_hangup(context, program):
    code = RUN_UNTIL_HANGUP.format(run=HANGUP_PROGRAMS[program])
    completed = subprocess.run(
        [sys.executable, '-S', '-c', code],
        capture_output=True,
        text=True,
        check=True,
        env={'PYTHONPATH': 'src'},
    )
    recorded, names = completed.stdout.splitlines()
    context.is_recorded = recorded == 'True'
    context.modules = names.split()


# Runs the launcher until it sets a handler for SIGHUP, then lists its calls
# of C functions, and counts its lines.
TRACE_UNTIL_HANGUP = """
import _signal, runpy, sys
calls = []
lines = []
def is_launcher(frame):
    return frame.f_code.co_filename.endswith('launcher.py')
def profile(frame, event, function):
    if event == 'c_call' and is_launcher(frame):
        calls.append(function.__name__)
def trace(frame, event, _argument):
    if event == 'line' and is_launcher(frame):
        lines.append(frame.f_lineno)
    return trace
def record(number, handler):
    if number == _signal.SIGHUP:
        sys.setprofile(None)
        sys.settrace(None)
        print(len(lines), *calls)
        raise SystemExit
_signal.signal = record
sys.setprofile(profile)
sys.settrace(trace)
runpy.run_path('src/liftmount/platform/launcher.py', run_name='__main__')
"""


@when('the launcher is traced until it ignores SIGHUP')
def trace_until_hangup(context):
    completed = subprocess.run(
        [sys.executable, '-S', '-c', TRACE_UNTIL_HANGUP],
        capture_output=True,
        text=True,
        check=True,
    )
    count, *context.calls = completed.stdout.split()
    context.line_count = int(count)


@then('it has called {name} alone, and run at most {most:d} lines')
def called_alone(context, name, most):
    assert context.calls == [name], context.calls
    assert context.line_count <= most, context.line_count


@then('SIGTERM {is_recorded} by then')
def sigterm_recorded(context, is_recorded):
    assert context.is_recorded == (is_recorded == 'is recorded')


@then('it has imported {most:d} modules or fewer by then, none of them from a '
      'package that it depends on')  # fmt: skip
def modules_by_then(context, most):
    assert len(context.modules) <= most, context.modules
    own = {'liftmount', *sys.stdlib_module_names}
    others = {one.partition('.')[0] for one in context.modules} - own
    assert not others, others


def early_imports(arguments):
    """Return the modules that Python reports to import, in order."""
    command = [sys.executable, '-X', 'importtime', *arguments]
    completed = subprocess.run(
        command,
        capture_output=True,
        text=True,
        env={'LIFTMOUNT_CONFIG': '/nowhere'},
    )
    return [
        line.rpartition('|')[2].strip()
        for line in completed.stderr.splitlines()
        if line.startswith('import time:')
    ]


@when('the command of {place} is run with its imports listed')
def list_early_imports(context, place):
    command = balancer_command(NO_ADDRESS)
    if place == 'the deploy file':
        with open('deploy/system.toml', 'rb') as stream:
            run = tomllib.load(stream)['roles']['balancer']['run']
        command = run.replace('target/balancer', 'src').split()
    context.modules = early_imports(command[1:])


@then('it has imported what an interpreter does that runs no program, until '
      'it handles signals')  # fmt: skip
def only_imports_of_interpreter(context):
    own = early_imports(['-S', '-P', '-c', ''])
    handled = context.modules.index(FIRST_IMPORT)
    assert context.modules[:handled] == own, context.modules[:handled]


@when('the modules imported before the first packet are listed')
def list_first(context):
    context.modules = imported(FIRST_PACKET)


@when('the modules imported at startup are listed')
def list_modules(context):
    context.modules = imported(START)


@given('a module that imports 2 others')
def module_with_imports(context):
    lines = {
        'lm_turns_outer': 'import lm_turns_one\nimport lm_turns_two',
        'lm_turns_one': '',
        'lm_turns_two': '',
    }
    for name, text in lines.items():
        (context.directory / f'{name}.py').write_text(text)


@when('it is imported within the import hook')
def import_with_hook(context):
    context.callback_calls = 0

    def callback():
        context.callback_calls += 1
        # Imports of the callback itself do not call it again.
        importlib.import_module('wave')

    sys.path.insert(0, str(context.directory))
    try:
        with ImportHook(callback):
            importlib.import_module('lm_turns_outer')
        importlib.import_module('chunk')
    finally:
        sys.path.remove(str(context.directory))
        sys.modules.pop('wave', None)


@then('the callback was called before it and before each of the {count:d} '
      'modules that it imports')  # fmt: skip
def callback_calls_counted(context, count):
    assert context.callback_calls == 1 + count, context.callback_calls


@then('none of them is {names}')
def none_of(context, names):
    roots = {name.partition('.')[0] for name in context.modules}
    unwanted = set(re.split(r', | or ', names))
    assert not roots & unwanted, roots & unwanted


@then("at most {most:d} of them are liftmount's")
def at_most(context, most):
    own = [one for one in context.modules if one.startswith('liftmount')]
    assert len(own) <= most, own


@then('deploy/system.toml names the metrics port of the settings')
def metrics_port(_context):
    with open('deploy/system.toml', 'rb') as stream:
        role = tomllib.load(stream)['roles']['balancer']
    assert role['metrics'] == f'{METRICS_PORT}/metrics', role


def outside_adapter():
    """Yield paths and texts of the sources outside the adapter."""
    for path in sorted(SOURCE.rglob('*.py')):
        if ADAPTER not in path.parents:
            yield path, path.read_text()


@then('no module outside liftmount/platform imports it')
def no_imports_outside(_context):
    found = [path for path, text in outside_adapter() if IMPORTS.search(text)]
    assert not found, found


@then('no module outside liftmount/platform names a field of the platform')
def no_fields_outside(_context):
    found = [
        (str(path), FIELDS.findall(text))
        for path, text in outside_adapter()
        if FIELDS.search(text)
    ]
    assert not found, found
