"""Steps for the documentation and the public interface."""

from importlib import import_module
import inspect
from pathlib import Path
import pkgutil
import re
import tomllib

from behave import then

import liftmount
from liftmount._internal.models.configuration import parse_team
from liftmount._internal.models.configuration import parse_template
from liftmount._internal.models.configuration import resolve_services
from liftmount._internal.models.settings import load_settings

ROOT = Path(__file__).parents[3]
LINK = re.compile(r'\]\(([^)#:]+)\)')
CODE = re.compile(r'```python\n(.*?)```', re.DOTALL)
MODULE = re.compile(r'`((?:decisions|services|models|network)/\w+\.py)`')


def read_page(name):
    return (ROOT / name).read_text()


@then('each Python example of docs/EMBEDDING.md runs')
def examples_run(_context):
    examples = CODE.findall(read_page('docs/EMBEDDING.md'))
    assert len(examples) >= 3
    for example in examples:
        exec(compile(example, 'EMBEDDING.md', 'exec'), {})


@then('every link between pages leads to a file')
def links_resolve(_context):
    pages = [*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')]
    assert len(pages) > 10
    for one in pages:
        for link in LINK.findall(one.read_text()):
            assert (one.parent / link).exists(), (one.name, link)


@then('every module that docs/ARCHITECTURE.md names exists')
def modules_exist(_context):
    found = MODULE.findall(read_page('docs/ARCHITECTURE.md'))
    assert len(found) > 10
    for name in found:
        assert (ROOT / 'src/liftmount/_internal' / name).exists(), name


def read_indented_block(text, heading):
    """Return the indented block after a heading."""
    after = text.split(heading, 1)[1]
    lines = []
    for line in after.splitlines()[1:]:
        if line.startswith('    '):
            lines.append(line[4:])
        elif line.strip() and lines:
            break
        else:
            lines.append('')
    return '\n'.join(lines)


@then('the example of docs/operators/settings.md is valid')
def settings_example(context):
    text = read_indented_block(
        read_page('docs/operators/settings.md'), '## Example'
    )
    path = Path(context.directory) / 'example.toml'
    path.write_text(text)
    assert load_settings(path).instance.name == 'lm-1'


@then('the worked example "{team}" of docs/operators/teams.md is valid')
def team_example(_context, team):
    text = read_page('docs/operators/teams.md')
    document = tomllib.loads(read_indented_block(text, f'### Team {team}'))
    parsed = parse_team(document, team)
    heading = f'### Template {parsed.template}'
    template = parse_template(
        tomllib.loads(read_indented_block(text, heading)), 'template'
    )
    assert resolve_services(parsed, template, team)


@then('each public name of liftmount has a docstring')
def docstrings(_context):
    modules = [
        import_module(f'liftmount.{one.name}')
        for one in pkgutil.iter_modules(liftmount.__path__)
        if not one.name.startswith('_')
    ]
    assert len(modules) > 10
    for module in modules:
        assert module.__doc__, module
        for name in module.__all__:
            assert inspect.getdoc(getattr(module, name)), (module, name)
