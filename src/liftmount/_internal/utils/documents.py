"""Structures documents as attrs classes and reports all problems."""

from pathlib import Path
import re
import tomllib

import attrs
from cattrs import Converter
from cattrs import transform_error
from cattrs.errors import ClassValidationError
from cattrs.errors import IterableValidationError
from cattrs.v import format_exception

from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.addresses import parse_endpoint
from liftmount._internal.models.problems import Problem

_MISSING = object()
_QUOTED_KEY = re.compile(r"\['([^']*)'\]")


def _structure_endpoint(value, _kind):
    if not isinstance(value, str):
        raise ValueError('expected "IP:PORT"')
    return parse_endpoint(value)


def _make_strict_hook(kind):
    """Return a hook that accepts only values of exactly this type."""

    def structure(value, _kind):
        if type(value) is not kind:
            found = type(value).__name__
            raise ValueError(f'expected {kind.__name__}, found {found}')
        return value

    return structure


def make_converter() -> Converter:
    """Return a converter that rejects unknown keys and coerces nothing."""
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(Endpoint, _structure_endpoint)
    converter.register_unstructure_hook(Endpoint, str)
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _make_strict_hook(kind))
    return converter


CONVERTER = make_converter()


def read_toml(path: Path) -> dict:
    """Read a TOML file; raises ConfigurationError naming the file."""
    try:
        with path.open('rb') as stream:
            return tomllib.load(stream)
    except OSError as error:
        problem = Problem(str(path), '(file)', '', error.strerror or '')
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        problem = Problem(str(path), '(file)', '', f'not TOML: {error}')
    raise ConfigurationError([problem])


def structure(document: dict, kind, source: str):
    """Return an instance of an attrs class from a plain document.

    ``source`` names the document in problems.  Raises ConfigurationError
    with one Problem for each invalid or unknown key.
    """
    try:
        return CONVERTER.structure(document, kind)
    except (ClassValidationError, IterableValidationError) as error:
        problems = _list_problems(error, document, source)
    except Exception as error:
        # cattrs does not wrap all errors of nested hooks.
        problems = [Problem(source, '(document)', '', str(error))]
    raise ConfigurationError(problems)


def _list_problems(error, document, source):
    problems = []
    lines = transform_error(error, path='$', format_exception=_format_error)
    for line in lines:
        message, _separator, path = line.partition(' @ $')
        key = _to_dotted_key(path)
        value = _find_value(document, key)
        shown = '' if value is _MISSING else repr(value)
        problems.append(Problem(source, key, shown, message))
    return problems


def _format_error(error, kind):
    """Return the message of an error for the operator."""
    if isinstance(error, ValueError) and error.args:
        return str(error)
    return format_exception(error, kind)


def _to_dotted_key(path):
    """Return a path such as ``.a['b'][0]`` as ``a.b[0]``."""
    plain = _QUOTED_KEY.sub(r'.\1', path)
    return plain.lstrip('.') or '(document)'


def _find_value(document, key):
    value = document
    for part in key.replace(']', '').replace('[', '.').split('.'):
        try:
            value = value[int(part)] if part.isdecimal() else value[part]
        except (KeyError, IndexError, TypeError):
            return _MISSING
    return value


def check_fields(instance, source: str, prefix: str = '') -> list[Problem]:
    """Run the ``check`` of each field and of nested classes."""
    problems = []
    for item in attrs.fields(type(instance)):
        value = getattr(instance, item.name)
        key = f'{prefix}{item.name}'
        check = item.metadata.get('check')
        message = check(value) if check else None
        if message:
            problems.append(Problem(source, key, repr(value), message))
        if attrs.has(type(value)) and not isinstance(value, Endpoint):
            problems += check_fields(value, source, f'{key}.')
    return problems


def checked(check, default=attrs.NOTHING, help_text=''):
    """Declare a field that ``check_fields`` validates by ``check``.

    ``check(value)`` returns None if the value is valid, else a message.
    """
    return attrs.field(
        default=default,
        metadata={'check': check, 'help': help_text},
    )
