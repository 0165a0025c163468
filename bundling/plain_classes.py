"""Converts attrs classes in a module's source to plain classes.

The result behaves like the source with two exceptions: instances of frozen
classes can be modified, and ``attrs.fields`` does not work on the classes.
A class or statement that can't be converted raises an error, so that a build
never deploys code that behaves differently from the tested source.
"""

import ast

from attrs import frozen

ATTRS = 'attrs'
DECORATORS = {'define', 'frozen', 'message'}
MESSAGE_MODULE = 'liftmount._internal.models.records'
# Hooks that attrs calls or generates in a constructor.
UNSUPPORTED = {'__attrs_post_init__', '__attrs_pre_init__', '__attrs_init__'}


class UnsupportedClassError(Exception):
    """The source has a class or statement that can't be converted."""


@frozen
class Field:
    """A field of an attrs class, with its default."""

    name: str
    default: ast.expr | None

    @property
    def parameter(self) -> str:
        """Return the name of the parameter of ``__init__``."""
        return self.name.lstrip('_')

    @property
    def factory(self) -> ast.Call | None:
        """Return the ``Factory()`` call of the default, if there is one."""
        value = self.default
        if isinstance(value, ast.Call) and _get_name(value.func) == 'Factory':
            return value
        return None


def convert_module(source: str, where: str) -> str:
    """Return a module's source with attrs classes made plain.

    Raises UnsupportedClassError; ``where`` names the module in its text.
    """
    tree = ast.parse(source)
    if not _uses_attrs(tree):
        return source
    body = []
    for node in tree.body:
        body += _convert_statement(node, where)
    tree.body = body
    return ast.unparse(ast.fix_missing_locations(tree)) + '\n'


def _uses_attrs(tree):
    return any(
        isinstance(node, ast.ImportFrom)
        and (node.module == ATTRS or _imports_message(node))
        for node in tree.body
    )


def _imports_message(node):
    names = {one.name for one in node.names}
    return node.module == MESSAGE_MODULE and 'message' in names


def _convert_statement(node, where):
    """Return the statements that replace a statement of a module."""
    match node:
        case ast.ImportFrom(module='attrs'):
            _check_imports(node, where)
            return []
        case ast.ImportFrom() if _imports_message(node):
            node.names = [one for one in node.names if one.name != 'message']
            return [node] if node.names else []
        case ast.FunctionDef(name='message'):
            return []
        case ast.ClassDef() if _find_decorator(node) is not None:
            return [_convert_class(node, where)]
    _reject_attrs(node, where)
    return [node]


def _check_imports(node, where):
    unknown = {one.name for one in node.names} - {*DECORATORS, 'Factory'}
    if unknown:
        names = ', '.join(sorted(unknown))
        raise UnsupportedClassError(
            f'{where}:{node.lineno}: unsupported import: {names}'
        )


def _reject_attrs(node, where):
    """Raise UnsupportedClassError if a statement refers to attrs."""
    for part in ast.walk(node):
        if isinstance(part, ast.Name) and part.id in ('attrs', 'Factory'):
            raise UnsupportedClassError(f'{where}:{node.lineno}: {part.id}')


def _get_name(node):
    return node.id if isinstance(node, ast.Name) else ''


def _find_decorator(node):
    """Return the attrs decorator of a class, None if it has none."""
    for one in node.decorator_list:
        if _get_decorator_name(one) in DECORATORS:
            return one
    return None


def _get_decorator_name(decorator):
    if isinstance(decorator, ast.Call):
        return _get_name(decorator.func)
    return _get_name(decorator)


def _read_options(decorator):
    """Return the values of a decorator's keyword arguments."""
    if not isinstance(decorator, ast.Call):
        return {}
    return {one.arg: one.value.value for one in decorator.keywords}


def _convert_class(node, where):
    decorator = _find_decorator(node)
    options = _read_options(decorator)
    kind = _get_decorator_name(decorator)
    has_own = kind != 'message'
    unknown = set(options) - {'eq', 'repr'}
    if unknown or len(node.decorator_list) > 1:
        raise UnsupportedClassError(
            f'{where}: {node.name}: unsupported decorators'
        )
    fields, rest = _split_body(node, where)
    made = [_make_slots(fields), _make_match_args(fields), _make_init(fields)]
    if has_own and options.get('eq', True):
        made += _make_comparison(fields, kind == 'frozen')
    if has_own and options.get('repr', True):
        made += _parse(_REPR)
    node.decorator_list = []
    has_doc = ast.get_docstring(node) is not None
    head, tail = (rest[:1], rest[1:]) if has_doc else ([], rest)
    node.body = [*head, *made, *tail]
    return node


def _split_body(node, where):
    """Return (fields, other statements) of a class body."""
    fields = []
    rest = []
    for one in node.body:
        if isinstance(one, ast.AnnAssign):
            fields.append(_read_field(one, f'{where}: {node.name}'))
            continue
        if getattr(one, 'name', '') in UNSUPPORTED:
            raise UnsupportedClassError(f'{where}: {node.name}: {one.name}')
        rest.append(one)
    return fields, rest


def _read_field(node, where):
    value = node.value
    if isinstance(value, ast.Call) and _get_name(value.func) == 'field':
        raise UnsupportedClassError(f'{where}: {node.target.id}: field()')
    return Field(node.target.id, value)


def _parse(text):
    return ast.parse(text).body


def _make_slots(fields):
    (node,) = _parse(f'__slots__ = {tuple(one.name for one in fields)!r}')
    return node


def _make_match_args(fields):
    names = tuple(one.name for one in fields)
    (node,) = _parse(f'__match_args__ = {names!r}')
    return node


def _make_init(fields):
    """Return ``__init__``.

    A parameter whose default comes from a factory defaults to ``...``; the
    factory is called in the body.
    """
    parameters = ['self']
    lines = []
    for one in fields:
        parameter = one.parameter
        lines.append(f'    self.{one.name} = {_initial_value(one)}')
        if one.factory is not None:
            parameters.append(f'{parameter}=...')
        elif one.default is not None:
            parameters.append(f'{parameter}={ast.unparse(one.default)}')
        else:
            parameters.append(parameter)
    text = f'def __init__({", ".join(parameters)}):\n'
    (node,) = _parse(text + '\n'.join(lines or ['    pass']))
    return node


def _initial_value(one):
    call = one.factory
    if call is None:
        return one.parameter
    takes_self = any(key.arg == 'takes_self' for key in call.keywords)
    made = f'({ast.unparse(call.args[0])})({"self" if takes_self else ""})'
    return f'{made} if {one.parameter} is ... else {one.parameter}'


def _make_comparison(fields, is_hashable):
    """Return ``__eq__`` and ``__hash__``, which cover all fields."""
    own = _format_tuple('self', fields)
    other = _format_tuple('other', fields)
    text = (
        'def __eq__(self, other):\n'
        '    if other.__class__ is not self.__class__:\n'
        '        return NotImplemented\n'
        f'    return {own} == {other}\n'
    )
    if is_hashable:
        text += f'def __hash__(self):\n    return hash({own})\n'
    else:
        text += '__hash__ = None\n'
    return _parse(text)


def _format_tuple(name, fields):
    return '(' + ''.join(f'{name}.{one.name}, ' for one in fields) + ')'


_REPR = """
def __repr__(self):
    pairs = [f'{name}={getattr(self, name)!r}' for name in self.__slots__]
    return f'{type(self).__name__}({", ".join(pairs)})'
"""
