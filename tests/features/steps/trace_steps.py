"""Steps for the tracing of a client in logs."""

import contextlib
import io
import json

from behave import given
from behave import then
from behave import when

from liftmount._internal.cli import main as tool
from liftmount._internal.commands import trace


@given('the logs')
def the_logs(context):
    for row in context.table:
        fields = {key: row[key] for key in row.headings if row[key]}
        name = fields.pop('log')
        fields['at_ms'] = int(fields['at_ms'])
        append(context, name, json.dumps(fields))


def append(context, name, text):
    """Append a line to a log."""
    with (context.directory / name).open('a') as stream:
        stream.write(text + '\n')


@given('log {name} also holds "{first}", "{second}" and "{third}"')
def add_lines(context, name, first, second, third):
    for text in (first, second, third):
        append(context, name, text)


@when('the client {client} is traced')
def client_traced(context, client):
    lines = []
    for path in sorted(context.directory.iterdir()):
        lines += trace.read_lines(path)
    context.found = trace.trace(lines, client)


@then('the events are {events}')
def events_are(context, events):
    found = [line.event for line in context.found]
    assert found == events.split(', '), found


@then('the targets named are {targets}')
def targets_are(context, targets):
    found = {line.fields.get('target') for line in context.found}
    assert found - {None} == set(targets.split(', ')), found


@when('the operator traces {client} in {logs}')
def operator_traces(context, client, logs):
    names = logs.split(' and ')
    paths = [str(context.directory / name) for name in names]
    context.output = io.StringIO()
    with (
        contextlib.redirect_stdout(context.output),
        contextlib.redirect_stderr(context.output),
    ):
        context.status = tool.main(None, ['trace', client, *paths])


@then('it exits with status {status:d} and prints "{text}"')
def exits_with(context, status, text):
    assert context.status == status, context.output.getvalue()
    assert text in context.output.getvalue(), context.output.getvalue()
