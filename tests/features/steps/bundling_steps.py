"""Steps for the deployed program and the conversion of classes."""

import marshal
import os
from pathlib import Path
import re
import subprocess
import sys

import attrs
from behave import given
from behave import then
from behave import when

from bundling.__main__ import build
from bundling.plain_classes import convert_module
from bundling.plain_classes import UnsupportedClassError
from liftmount.platform.launcher import ARCHIVE
from liftmount.platform.launcher import DEPENDENCIES
from liftmount.platform.launcher import HEADER_BYTES
from liftmount.platform.launcher import PROGRAM

# Features of the decisions that a balancer on the platform makes.
DECISIONS = (
    'store_cache',
    'forwarding',
    'group',
    'bootstrap',
    'overflow',
    'placement',
    'reader',
    'dissemination',
)
TIMEOUT_S = 300
PRELUDE = """
from attrs import define
from attrs import Factory
from attrs import frozen
from liftmount._internal.models.records import Message
from liftmount._internal.models.records import message
"""
CLASSES = {
    'with defaults': (
        '@define\nclass Target:\n    name: str\n    port: int = 7'
    ),
    'with factories': (
        '@define\nclass Target:\n    name: str\n'
        '    flows: dict = Factory(dict)\n'
        '    twice: str = Factory(lambda self: 2 * self.name, takes_self=True)'
    ),
    'with a private field': (
        '@define\nclass Target:\n    name: str\n    _port: int = 3'
    ),
    'that is frozen': (
        '@frozen\nclass Target:\n    name: str\n    port: int = 7'
    ),
    'that is a message': (
        '@message\nclass Target(Message):\n    name: str\n    port: int = 7'
    ),
    'without equality': (
        '@define(eq=False, repr=False)\nclass Target(Message):\n'
        '    name: str\n    port: int = 7'
    ),
    'with a method': (
        '@define\nclass Target:\n    """A target."""\n\n    name: str\n\n'
        '    def twice(self):\n        return 2 * self.name'
    ),
}
UNSUPPORTED_SOURCES = {
    'with a field that is declared by field()': (
        'from attrs import define\n@define\nclass Target:\n'
        '    port: int = field(default=1)'
    ),
    'with a function of attrs': 'from attrs import evolve',
    'with a class with other options': (
        'from attrs import define\n@define(kw_only=True)\nclass Target:\n'
        '    port: int'
    ),
    'with a class with an __attrs_post_init__ method': (
        'from attrs import define\n@define\nclass Target:\n    port: int\n'
        '    def __attrs_post_init__(self):\n        pass'
    ),
}


def run_class(source):
    """Return the class ``Target`` that a source defines."""
    names = {'__name__': 'sample'}
    exec(source, names)
    return names['Target']


@given('the class {text}')
def make_class(context, text):
    context.source = PRELUDE + CLASSES[text]


@when('it is converted')
def convert_class(context):
    plain = convert_module(context.source, 'sample')
    assert 'attrs' not in plain, plain
    context.forms = (run_class(context.source), run_class(plain))


def observe_construction(form):
    target = form('a')
    other = form('b', 9)
    names = form.__match_args__
    try:
        form()
    except TypeError as error:
        missing = type(error)
    return (
        [getattr(target, name) for name in names],
        [getattr(other, name) for name in names],
        target.__match_args__,
        missing,
    )


def observe_equality(form):
    one = form('a', 1)
    return (
        one == form('a', 1),
        one == form('a', 2),
        one != form('b', 1),
        one == ('a', 1),
    )


def observe_hashes(form):
    return len({form('a', 1), form('a', 1), form('a', 2)})


def observe_no_hash(form):
    try:
        hash(form('a'))
    except TypeError as error:
        return type(error)


def observe_representation(form):
    return repr(form('a', 1))


def observe_matching(form):
    match form('a', 3):
        case form(name, port=3):
            return name


def observe_methods(form):
    return form('a').twice(), form.__doc__


OBSERVERS = {
    'construction': observe_construction,
    'equality': observe_equality,
    'hashes': observe_hashes,
    'having no hash': observe_no_hash,
    'representation': observe_representation,
    'matching': observe_matching,
    'methods': observe_methods,
}


@then('both classes agree on {aspect}')
def classes_agree(context, aspect):
    original, plain = map(OBSERVERS[aspect], context.forms)
    assert original == plain, (original, plain)


@when('the source {text} is converted')
def convert_unsupported(context, text):
    context.error = None
    try:
        convert_module(UNSUPPORTED_SOURCES[text], 'sample')
    except UnsupportedClassError as error:
        context.error = error


@then('the build fails and names {name}')
def build_fails(context, name):
    assert context.error is not None
    assert name in str(context.error), context.error


@given('the deployed program')
def deploy(context):
    target = context.directory / 'target'
    dependencies = target / DEPENDENCIES
    dependencies.mkdir(parents=True)
    for package in ('attr', 'attrs', 'cbor2', 'httptools'):
        source = Path(attrs.__file__).parents[1] / package
        (dependencies / package).symlink_to(source)
    build(target)
    context.target = target


def run_prepared(context, code):
    """Run code in place of the balancer, after the launcher's preparation."""
    launcher = context.target / PROGRAM / 'liftmount/platform/launcher.py'
    text = (
        "names = {'__name__': 'launcher'}\n"
        f'exec(open({str(launcher)!r}).read(), names)\n'
        f"names['prepare']({str(context.target)!r})\n"
        f'import sys\n{code}'
    )
    return subprocess.run(
        [sys.executable, '-S', '-P', '-c', text],
        capture_output=True,
        text=True,
        check=True,
        env={'PYTHONPATH': str(context.target / DEPENDENCIES)},
    )


LIST_LOADERS = """
import liftmount.platform.start
for name, one in sorted(sys.modules.items()):
    spec = getattr(one, '__spec__', None)
    loader = type(spec.loader).__name__ if spec else ''
    origin = getattr(spec, 'origin', '') or ''
    print(name, loader, origin)
"""


@when('its modules imported before the first packet are listed')
def list_loaded(context):
    done = run_prepared(context, LIST_LOADERS)
    context.loaders = [line.split(' ') for line in done.stdout.splitlines()]
    context.modules = [name for name, _loader, _origin in context.loaders]


@then('all of them that are written in Python come from the archive')
def from_archive(context):
    others = [
        (name, loader)
        for name, loader, origin in context.loaders
        if origin.endswith('.py') and not name.startswith('encodings')
    ]
    assert not others, others
    own = [one for one in context.loaders if one[1] == 'Archive']
    assert len(own) > 30, own


@then('the code loaded before the first packet is at most {limit_kb:d} KB')
def code_size(context, limit_kb):
    path = context.target / PROGRAM / ARCHIVE
    _version, index = marshal.loads(path.read_bytes()[:HEADER_BYTES])
    loaded = set(context.modules) & set(index)
    size_bytes = sum(index[name][1] for name in loaded)
    assert size_bytes <= 1_024 * limit_kb, size_bytes


@when('its archive is {state}')
def damage_archive(context, state):
    path = context.target / PROGRAM / ARCHIVE
    match state:
        case 'missing':
            path.unlink()
        case 'truncated':
            path.write_bytes(path.read_bytes()[:100])
        case 'made by another Python':
            header = marshal.dumps(('2.7', {}))
            path.write_bytes(header.ljust(HEADER_BYTES, b'\0'))
    context.done = run_prepared(context, LIST_LOADERS)


@then('its modules are imported as usual and the cause is printed')
def imported_as_usual(context):
    loaders = [line.split(' ') for line in context.done.stdout.splitlines()]
    assert not [one for one in loaders if one[1] == 'Archive']
    assert 'liftmount.platform.start' in [one[0] for one in loaders]
    assert ARCHIVE in context.done.stderr, context.done.stderr


@then('the scenarios of its decisions pass')
def decisions_pass(context):
    features = [f'tests/features/decisions/{one}.feature' for one in DECISIONS]
    path = f'{context.target / PROGRAM}{os.pathsep}{os.getcwd()}'
    command = [sys.executable, '-m', 'behave', '--format', 'plain', *features]
    done = subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        env={**os.environ, 'PYTHONPATH': path},
    )
    found = re.search(r'(\d+) scenarios passed, 0 failed', done.stdout)
    assert done.returncode == 0 and found, done.stdout[-4_000:]
    assert int(found.group(1)) > 100, found.group()
