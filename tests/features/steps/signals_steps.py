"""Steps that force the order of signals and of the stages of a process.

A process is stopped by SIGSTOP at a stage that it can't pass by itself, or
that an event shows: it reads its settings from a named pipe, listens, asks
the store or writes a line to its log.  The signals are sent while it is
stopped, so that they arrive at that stage.
"""

import errno
import json
import os
from pathlib import Path
import signal
import socket
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when
import tomli_w

from liftmount.platform.launcher import DEPENDENCIES
from liftmount.platform.launcher import PROGRAM
from stand_ins.deployment import Deployment
from stand_ins.deployment import PROGRAMS
from stand_ins.plans import ALL_PLANS
from stand_ins.programs import balancer_command
from tests.features.steps.bundling_steps import deploy
from tests.features.steps.process_steps import BalancerProcess
from tests.features.steps.process_steps import handles_signals
from tests.features.steps.process_steps import read_status
from tests.features.steps.process_steps import start_balancer
from tests.features.steps.process_steps import wait_until

POLL_S = 0.000_5
TIMEOUT_S = 12.0
# A traced balancer reloads its settings at each SIGHUP, which takes long
# beside load; the limit only ends a scenario that would hang.
TRACED_TIMEOUT_S = 60.0
# Pause between the signals of a series.
SERIES_S = 0.000_5
# A stop that ends this fast is long enough for a series of signals.
SHORT_GRACE_S = 2
SHORT_STOP_MS = 1_000
NEW_FLOW_AGE_S = 90
SIGNALLER = 'tests.signals_at_each_line'
# Fewest lines that run from the end of a planned stop on.
LINES_OF_END = 100
# Name of the liftmountd of a scenario.
DAEMON = 'lm-1'


def await_event(condition, name):
    """Wait for a condition with short pauses; fail naming the event."""
    until = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < until, f'not seen: {name}'
        time.sleep(POLL_S)


def parse_signals(text):
    """Return the signals in a text such as 'SIGHUP and SIGTERM'."""
    return [signal.Signals[name] for name in text.split(' and ')]


def stop_process(process):
    """Stop a process by SIGSTOP; return once it is stopped."""
    process.send_signal(signal.SIGSTOP)
    await_event(
        lambda: read_status(process.pid, 'State')[:1] in ('T', 'Z', ''),
        'the process is stopped',
    )


def send_in_series(process, numbers):
    """Send signals again and again until a process is gone."""
    until = time.monotonic() + TIMEOUT_S
    while process.poll() is None and time.monotonic() < until:
        for number in numbers:
            process.send_signal(number)
        time.sleep(SERIES_S)


def open_for_reader(path):
    """Return the end to write of a named pipe, None if nobody reads it."""
    try:
        return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
    except OSError as error:
        assert error.errno == errno.ENXIO, error
        return None


class PipedBalancer(BalancerProcess):
    """A balancer that reads its settings from a named pipe."""

    writer = None
    made_at_ns = 0
    keeps_time = False

    def prepare(self):
        """Create the named pipe in the place of the settings file."""
        os.mkfifo(self.path)
        self.made_at_ns = self.path.stat().st_mtime_ns

    def is_reading(self):
        """Return whether the process has opened its settings."""
        self.writer = open_for_reader(self.path)
        return self.writer is not None

    def begin_settings(self):
        """Write the settings to the pipe; the process goes on reading."""
        if self.writer is None:
            await_event(self.is_reading, 'the settings are opened')
        os.write(self.writer, tomli_w.dumps(self.settings).encode())

    def finish_settings(self):
        """Write the settings to the end unless the process is gone."""
        while self.writer is None and self.process.poll() is None:
            self.is_reading()
            time.sleep(POLL_S)
        if self.writer is None:
            return
        try:
            self.begin_settings()
        except BrokenPipeError:
            # The process is gone; its status is checked later.
            pass
        self.end_settings()

    def end_settings(self):
        """Close the pipe, so that the process can use the settings.

        A reload reads a file in its place, as a pipe would block it.
        """
        self.write_settings()
        if self.keeps_time:
            times_ns = (self.made_at_ns, self.made_at_ns)
            os.utime(self.path, ns=times_ns)
        os.close(self.writer)

    def is_listening(self):
        """Return whether the address for readiness accepts connections."""
        ip, _colon, port = self.settings['listen']['ready'].partition(':')
        try:
            socket.create_connection((ip, int(port)), TIMEOUT_S).close()
        except ConnectionRefusedError:
            return False
        return True


class DeployedBalancer(PipedBalancer):
    """A balancer that is started from the build, as the deploy file does."""

    def command(self, context):
        """Return the command of the deploy file."""
        packets = self.settings['listen']['packets']
        return balancer_command(packets, context.target / PROGRAM)

    def environment(self, context):
        """Return the environment with the dependencies of the build."""
        dependencies = str(context.target / DEPENDENCIES)
        return super().environment(context) | {'PYTHONPATH': dependencies}


class ModuleBalancer(PipedBalancer):
    """A balancer that is started as a module."""

    def command(self, _context):
        """Return the command that names the module."""
        return [sys.executable, '-m', 'liftmount.platform']


class SignalledBalancer(BalancerProcess):
    """A balancer that signals itself at each line of a part of its life."""

    def prepare(self):
        """Write settings with a short grace period."""
        self.settings['bounds']['grace_s'] = SHORT_GRACE_S
        self.write_settings()

    def command(self, context):
        """Return the command that signals ``liftmount.platform``."""
        module = 'liftmount.platform'
        options = [context.part, context.signal_name, module]
        return [sys.executable, '-m', SIGNALLER, *options]


FORMS = {
    'source': PipedBalancer,
    'module': ModuleBalancer,
    'deployed': DeployedBalancer,
}


def start_form(context, form):
    """Start a balancer in one of its forms."""
    if form == 'deployed':
        deploy(context)
    balancer = start_balancer(context, 'a', FORMS[form])
    context.process = balancer.process
    return balancer


def await_handled(balancer):
    pid = balancer.process.pid
    await_event(lambda: handles_signals(pid), 'SIGHUP is handled')


def await_reading(balancer):
    await_handled(balancer)
    await_event(balancer.is_reading, 'the settings are opened')


def await_bound(balancer):
    await_handled(balancer)
    balancer.begin_settings()
    balancer.end_settings()
    await_event(balancer.is_listening, 'sockets are bound')


def await_asked(context, balancer):
    await_bound(balancer)
    calls = context.store.store.calls
    await_event(calls.total, 'the store was asked')


def await_line(balancer, event):
    await_bound(balancer)
    await_event(lambda: balancer.events(event), f'a line {event}')


STAGES = {
    'SIGHUP is handled': lambda _context, one: await_handled(one),
    'it reads its settings': lambda _context, one: await_reading(one),
    'its sockets are bound': lambda _context, one: await_bound(one),
    'it has asked the store': await_asked,
    'its event loop runs': lambda _context, one: await_line(one, 'event_loop'),
    'it has joined the group': lambda _context, one: await_line(one, 'order'),
}
# Stages at which the process still waits for its settings.
STAGES_BEFORE_SETTINGS = ('SIGHUP is handled', 'it reads its settings')


@given('a {form} balancer that is stopped once {stage}')
def stopped_at_stage(context, form, stage):
    balancer = start_form(context, form)
    STAGES[stage](context, balancer)
    stop_process(balancer.process)
    context.waits_for_settings = stage in STAGES_BEFORE_SETTINGS


@when('it gets {names} and goes on')
def gets_while_stopped(context, names):
    balancer = context.balancer
    for number in parse_signals(names):
        balancer.process.send_signal(number)
    balancer.process.send_signal(signal.SIGCONT)
    if context.waits_for_settings:
        balancer.finish_settings()


@then('it is ready, and its process runs')
def ready_and_runs(context):
    balancer = context.balancer

    def is_decided():
        has_ended = balancer.process.poll() is not None
        return has_ended or balancer.ready()[0] == 200

    assert wait_until(is_decided), balancer.ready()
    status = balancer.process.poll()
    assert status is None, f'status {status}'


@then('it stops as planned with status 0')
def stops_as_planned(context):
    status = context.balancer.process.wait(TIMEOUT_S)
    assert status == 0, f'status {status}'
    assert context.balancer.events('left')


# The end


@given('a {form} balancer with a short grace period that is ready')
def ready_with_short_grace(context, form):
    balancer = start_form(context, form)
    balancer.settings['bounds']['grace_s'] = SHORT_GRACE_S
    await_bound(balancer)
    ready_and_runs(context)


def deploy_store(context):
    """Return a deployment of which only the store runs."""
    deployment = Deployment(ALL_PLANS['small'](), Path(context.directory))
    context.deployment.stop()
    context.deployment = deployment
    listen = ['--listen', deployment.platform]
    deployment.spawn('platform', ['-m', 'stand_ins.store', *listen])
    return deployment


@given('a liftmountd that is ready')
def liftmountd_ready(context):
    deployment = deploy_store(context)
    deployment.start_balancer(DAEMON)
    context.process = deployment.processes[DAEMON]


@when('it gets SIGTERM, and from then on {names} until it is gone')
def gets_series(context, names):
    context.process.send_signal(signal.SIGTERM)
    send_in_series(context.process, parse_signals(names))


@given('a {form} balancer that reads wrong settings')
def reads_wrong_settings(context, form):
    balancer = start_form(context, form)
    await_reading(balancer)
    os.write(balancer.writer, b'zone = [')
    os.close(balancer.writer)


@given('a liftmountd that is called without settings')
def liftmountd_without_settings(context):
    command = [sys.executable, '-m', PROGRAMS, 'daemon']
    context.process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    pid = context.process.pid
    await_event(lambda: handles_signals(pid), 'SIGHUP is handled')


@when('it gets {names} until it is gone')
def gets_only_series(context, names):
    send_in_series(context.process, parse_signals(names))


@then('its status is {expected:d}')
def status_is(context, expected):
    status = context.process.poll()
    assert status == expected, f'status {status}'


@given('a liftmountd that is stopped before it reads its settings')
def liftmountd_stopped(context):
    deployment = deploy_store(context)
    context.settings_path = Path(context.directory) / f'{DAEMON}.toml'
    os.mkfifo(context.settings_path)
    options = ['--settings', str(context.settings_path)]
    context.process = deployment.spawn(
        DAEMON, ['-m', PROGRAMS, 'daemon', *options], wait_ready=False
    )
    pid = context.process.pid
    await_event(lambda: handles_signals(pid), 'SIGHUP is handled')
    stop_process(context.process)


# Runs liftmountd, whose list of members never starts.
DAEMON_WITHOUT_MEMBERS = """
import asyncio, sys
from liftmount._internal.services.peers import PeerService
from liftmount.platform.programs import daemon
async def start(_self):
    print('the list starts', flush=True)
    await asyncio.Event().wait()
PeerService.start = start
sys.exit(daemon())
"""


@given('a liftmountd whose list of members has not started')
def liftmountd_without_members(context):
    deployment = deploy_store(context)
    settings = deployment.make_settings(DAEMON)
    settings['limits'] = {'stop_ms': SHORT_STOP_MS}
    path = Path(context.directory) / f'{DAEMON}.toml'
    path.write_text(tomli_w.dumps(settings))
    context.process = deployment.spawn(
        DAEMON,
        ['-c', DAEMON_WITHOUT_MEMBERS, '--settings', str(path)],
        wait_ready=False,
    )
    assert context.process.stdout.readline() == 'the list starts\n'


@when('it gets SIGTERM')
def gets_sigterm_alone(context):
    context.process.send_signal(signal.SIGTERM)


@when('it gets {names} and reads its settings')
def liftmountd_goes_on(context, names):
    for number in parse_signals(names):
        context.process.send_signal(number)
    context.process.send_signal(signal.SIGCONT)
    settings = context.deployment.make_settings(DAEMON)
    write_to_reader(
        context.process, context.settings_path, tomli_w.dumps(settings)
    )


def write_to_reader(process, path, text):
    """Write to a named pipe once a process reads it, unless it ends."""
    writer = None
    while writer is None and process.poll() is None:
        writer = open_for_reader(path)
        time.sleep(POLL_S)
    if writer is None:
        return
    try:
        os.write(writer, text.encode())
    except BrokenPipeError:
        # The process is gone; its status is checked later.
        pass
    os.close(writer)


@then('it prints its addresses')
def prints_addresses(context):
    line = context.process.stdout.readline()
    assert line.startswith('{"ready"'), (line, context.process.wait())


@then('it ends with status 0')
def ends_with_zero(context):
    status = context.process.wait(TIMEOUT_S)
    assert status == 0, f'status {status}'


# Signals at each line


@when('a balancer gets {name} at each line of its {part}')
def signalled_balancer(context, name, part):
    context.part = part
    context.signal_name = name
    balancer = start_balancer(context, 'a', SignalledBalancer)
    context.process = balancer.process
    context.log_path = balancer.log_path
    if part == 'end':
        ready_and_runs(context)
        balancer.process.send_signal(signal.SIGTERM)


@when('a liftmountd gets {name} at each line of its end')
def signalled_liftmountd(context, name):
    deployment = deploy_store(context)
    context.log_path = Path(context.directory) / f'{DAEMON}.log'
    path = Path(context.directory) / f'{DAEMON}.toml'
    path.write_text(tomli_w.dumps(deployment.make_settings(DAEMON)))
    options = ['daemon', '--settings', str(path)]
    context.process = deployment.spawn(
        DAEMON, ['-m', SIGNALLER, 'end', name, PROGRAMS, *options]
    )
    context.process.send_signal(signal.SIGTERM)


@then('its status is 0 after the end of its interpreter')
def status_after_end(context):
    status = context.process.wait(TRACED_TIMEOUT_S)
    lines = [
        json.loads(line)
        for line in context.log_path.read_text().splitlines()
        if line.startswith('{"part": "signals"')
    ]
    assert status == 0, (f'status {status}', lines[-3:])
    removed = [one for one in lines if one['event'] == 'removed']
    assert removed, lines
    assert removed[0]['sent'] >= LINES_OF_END, removed


# Reloads


@given('a {form} balancer that has read settings which then change')
def settings_change_during_start(context, form):
    balancer = start_form(context, form)
    await_handled(balancer)
    balancer.begin_settings()
    balancer.settings['bounds']['max_flow_s'] = NEW_FLOW_AGE_S
    balancer.write_settings()


@when('they keep their time and it gets {names} before its event loop runs')
def keep_time(context, names):
    context.balancer.keeps_time = True
    gets_before_loop(context, names)


@when('it gets {names} before its event loop runs')
def gets_before_loop(context, names):
    balancer = context.balancer
    # It waits for the end of its settings, so that no loop runs yet.
    for number in parse_signals(names):
        balancer.process.send_signal(number)
    balancer.end_settings()


@when('it gets no signal')
def gets_no_signal(context):
    context.balancer.end_settings()


@then('it logs a reload within {limit_ms:d} ms of its event loop')
def reload_logged(context, limit_ms):
    balancer = context.balancer
    await_event(lambda: balancer.events('event_loop'), 'its event loop')
    began_ms = balancer.events('event_loop')[0]['at_ms']
    wait_until(lambda: balancer.events('reload'), TIMEOUT_S / 2)
    lines = balancer.events('reload')
    assert lines, 'no reload'
    assert lines[0]['at_ms'] - began_ms <= limit_ms, lines


# Sends itself signals within a turn of its event loop; prints the calls.
SIGNALS_IN_ONE_TURN = """
import asyncio, os, signal
from liftmount._internal.utils.signals import SignalHandlers
calls = []
def send(name):
    os.kill(os.getpid(), signal.Signals[name])
def hang_up():
    calls.append('SIGHUP')
    {during}
def terminate():
    calls.append('SIGTERM')
async def run():
    handlers = {{signal.SIGHUP: hang_up, signal.SIGTERM: terminate}}
    with SignalHandlers(handlers):
        {sent}
        await asyncio.sleep(0.1)
asyncio.run(run())
print(*calls)
"""


def run_signalled(context, sent, during='pass'):
    """Record the calls of handlers for the statement ``sent``.

    ``during`` is a statement of the handler of SIGHUP.
    """
    code = SIGNALS_IN_ONE_TURN.format(sent=sent, during=during)
    completed = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    context.calls = completed.stdout.split()


@when('SIGHUP comes {count:d} times and then SIGTERM within a turn of the '
      'event loop')  # fmt: skip
def signals_in_one_turn(context, count):
    names = f"['SIGHUP'] * {count} + ['SIGTERM']"
    run_signalled(context, f'for name in {names}: send(name)')


@when('SIGHUP and SIGTERM come and the handler of SIGHUP fails')
def handler_fails(context):
    run_signalled(
        context,
        "for name in ('SIGHUP', 'SIGTERM'): send(name)",
        "raise RuntimeError('not reloaded')",
    )


@when('SIGHUP comes during the handler of SIGHUP')
def signal_during_handler(context):
    run_signalled(
        context, "send('SIGHUP')", "len(calls) < 2 and send('SIGHUP')"
    )


@then('SIGHUP is handled once and SIGTERM once')
def each_is_handled_once(context):
    assert context.calls == ['SIGHUP', 'SIGTERM'], context.calls


@then('SIGHUP is handled twice')
def is_handled_twice(context):
    assert context.calls == ['SIGHUP', 'SIGHUP'], context.calls
