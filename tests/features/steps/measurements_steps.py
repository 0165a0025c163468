"""Steps for the evaluation of measurements."""

from importlib import import_module

from behave import given
from behave import then
from behave import when

from benches.__main__ import BENCHES
from benches.ablation import MECHANISMS
from benches.ablation import ROOT
from benches.ablation import SOURCE
from benches.calls import count_all
from benches.losses import find_cause
from benches.silence import SilenceTable

WINDOW_FROM_S = 10.0
CONTROL = 'nothing'


@then('each measurement that ./dev measure names has a main function')
def measurements_load(_context):
    for name in BENCHES:
        module = import_module(f'benches.{name}')
        assert callable(module.main), name


@then('each mechanism occurs once in its file, and disabling it changes '
      'the file')  # fmt: skip
def mechanisms_found(_context):
    for one in MECHANISMS:
        if one.name == CONTROL:
            continue
        text = (ROOT / SOURCE / one.file).read_text()
        assert text.count(one.old) == 1, one.name
        assert one.new != one.old, one.name


@when('a window from 10 s has losses during these events: {events}')
def window_has_losses(context, events):
    found = []
    for text in events.split(', '):
        words = text.split()
        is_planned = words[0] == 'planned'
        kind, from_s, _to, to_s = words[is_planned:]
        found.append(
            {
                'kind': kind,
                'at_s': float(from_s),
                'to_s': float(to_s),
                'planned': is_planned,
            }
        )
    context.cause = find_cause(found, WINDOW_FROM_S)


@then('its cause is {cause}')
def cause_is(context, cause):
    assert context.cause == cause, context.cause


@given('these log lines')
def lines_of_logs(context):
    context.silence_table = SilenceTable()
    for row in context.table:
        line = {
            'at_ms': int(row['at_ms']),
            'event': row['event'],
            'target': row['target'],
        }
        line.update(pair.split('=') for pair in row['more'].split())
        context.silence_table.add(line)


@then('targets are unresponsive until {first:d} and {second:d} ms with '
      '{resets:d} resets, and until {third:d} ms with '
      '{none:d} resets')  # fmt: skip
def unresponsive_periods_are(context, first, second, resets, third, none):
    found = [
        ([at - one.suspected_ms for at in one.verdicts_ms], one.resets)
        for one in context.silence_table.silences
    ]
    assert found == [([first, second], resets), ([third], none)], found


@then('{count:d} suspected stall was cleared')
def stalls_cleared(context, count):
    assert context.silence_table.refuted == count


@given('these log lines of calls')
def lines_of_calls(context):
    context.lines = []
    for row in context.table:
        line = {
            'from': row['from'],
            'at_ms': int(row['at_ms']),
            'event': row['event'],
            'part': 'routes',
        }
        line.update(pair.split('=') for pair in row['more'].split())
        if 'wait_ms' in line:
            line['wait_ms'] = int(line['wait_ms'])
        context.lines.append(line)


@then('these calls are counted')
def calls_counted(context):
    kinds, _spans = count_all(context.lines)
    wanted = {
        (row['why'], 'routes', row['call'], row['outcome']): int(row['count'])
        for row in context.table
    }
    assert kinds == wanted, kinds
