"""How soon silence is told: a table from logs of balancers.

Each line of a log holds one JSON object, maybe behind a prefix.  For each
target that was found dead: when the first flow spoke against it, when each
balancer judged, and how many flows were reset.  Below it, doubts that a
target dispelled.
"""

import argparse
from collections import Counter
import json
from pathlib import Path
from statistics import median

from attrs import define
from attrs import Factory

# Verdicts on a target that come this much later belong to another silence.
MIN_GAP_MS = 3_000


@define
class Silence:
    """One time during which a target was found dead."""

    target: str
    suspected_ms: int
    verdicts_ms: list[int] = Factory(list)
    resets: int = 0


@define
class SilenceTable:
    """What the lines tell, in the order of their times."""

    silences: list[Silence] = Factory(list)
    suspicions: dict[str, int] = Factory(dict)
    refuted: int = 0
    signs: Counter = Factory(Counter)
    probes: Counter = Factory(Counter)

    def add(self, line: dict) -> None:
        """Take note of one line."""
        match line:
            case {'event': 'doubted_by_flow'}:
                self.signs[line['sign']] += 1
                self.suspicions.setdefault(line['target'], line['at_ms'])
            case {'event': 'ended', 'part': 'probes'}:
                self.probes[line['result']] += 1
                if line['result'] == 'answered':
                    suspected_ms = self.suspicions.pop(line['target'], None)
                    self.refuted += suspected_ms is not None
            case {'event': 'dead'}:
                self._add_verdict(line)
            case {'event': 'reset', 'reason': 'target_dead'}:
                for one in reversed(self.silences):
                    if one.target == line['target']:
                        one.resets += 1
                        break

    def _add_verdict(self, line):
        target = line['target']
        now_ms = line['at_ms']
        for one in reversed(self.silences):
            if (
                one.target == target
                and now_ms - one.verdicts_ms[-1] < MIN_GAP_MS
            ):
                one.verdicts_ms.append(now_ms)
                return
        suspected_ms = self.suspicions.pop(target, now_ms)
        self.silences.append(Silence(target, suspected_ms, [now_ms]))


def read_lines(paths) -> list[dict]:
    """Return the objects in logs, in the order of their times.

    What stands before an object ends with the name of its instance, if
    there is anything; it becomes the field ``from``.
    """
    lines = []
    for path in paths:
        with path.open(errors='replace') as stream:
            for text in stream:
                begin = text.find('{"at_ms"')
                if begin >= 0:
                    line = json.loads(text[begin:])
                    line['from'] = ''.join(text[:begin].split()[-1:])
                    lines.append(line)
    return sorted(lines, key=lambda line: line['at_ms'])


def print_table(table: SilenceTable) -> None:
    """Print a line for each silence, and sums."""
    print(f'{"target":20} {"first":>8} {"median":>8} {"last ms":>8} resets')
    for one in table.silences:
        after_ms = [
            verdict_ms - one.suspected_ms for verdict_ms in one.verdicts_ms
        ]
        print(
            f'{one.target:20} {after_ms[0]:8} {median(after_ms):8.0f} '
            f'{after_ms[-1]:8} {one.resets:6}'
        )
    print('times are from the first doubt of any balancer to each verdict')
    print(f'doubts by sign {dict(table.signs)}, dispelled {table.refuted}')
    print(f'probes by result {dict(table.probes)}')


def main(arguments) -> int:
    """Read the logs that are named and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('logs', nargs='+', type=Path)
    options = parser.parse_args(arguments)
    table = SilenceTable()
    for line in read_lines(options.logs):
        table.add(line)
    print_table(table)
    return 0
