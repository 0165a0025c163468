"""Steps for the list of tests that are known to fail."""

from behave import given
from behave import then
from behave import when

from tests.run import read_known_red
from tests.run import split_failed

LINE = 'tests/{feature} | {scenario} | it was seen | a command | issue 1\n'
FAILED = '  tests/{feature}:12  {scenario} \n'


@given('KNOWN-RED.txt lists {feature}: {scenario}')
def lists(context, feature, scenario):
    text = LINE.format(feature=feature, scenario=scenario)
    context.known = read_known_red(f'\n{text}')


@when('{scenarios} failed in a run')
def failed_in_run(context, scenarios):
    output = 'Failing scenarios:\n'
    if scenarios != 'nothing':
        for one in scenarios.split(' and '):
            feature, _colon, scenario = one.partition(': ')
            output += FAILED.format(feature=feature, scenario=scenario)
    context.found = split_failed(output, context.known)


@then('{known:d} of them are known red, and {others:d} are not')
def are_known(context, known, others):
    assert [len(one) for one in context.found] == [known, others], (
        context.found
    )


@when('KNOWN-RED.txt holds {line}')
def holds(context, line):
    context.error = ''
    try:
        read_known_red(line.replace(',', '|'))
    except ValueError as error:
        context.error = str(error)


@then('it is refused with line number {number:d}')
def refused(context, number):
    assert f'line {number}' in context.error, context.error
