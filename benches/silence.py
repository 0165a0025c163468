"""Measure from balancers' logs how soon dead targets are detected.

Each log line holds a JSON object, with or without a prefix.  For each
target that was found dead the table has the times from the first suspicion
of any balancer to the balancers' verdicts, and the number of flows reset.
Sums of suspicions, of those that targets refuted, and of probes follow.
"""

import argparse
from collections import Counter
import json
from pathlib import Path
from statistics import median

from attrs import define
from attrs import Factory

# Verdicts on a target further apart than this belong to separate silences.
MIN_GAP_MS = 3_000


@define
class Silence:
    """A period in which balancers found a target dead."""

    target: str
    suspected_ms: int
    verdicts_ms: list[int] = Factory(list)
    resets: int = 0


@define
class SilenceTable:
    """Silences and suspicions collected from log lines."""

    silences: list[Silence] = Factory(list)
    suspicions: dict[str, int] = Factory(dict)
    refuted: int = 0
    signs: Counter = Factory(Counter)
    probes: Counter = Factory(Counter)

    def add(self, line: dict) -> None:
        """Add a log line; lines are expected in order of time."""
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
    """Return the JSON objects of log files, in order of time.

    The last word of a line's prefix is the name of the instance; it is
    added as the field ``from``, empty if there is no prefix.
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
    """Print a line for each silence, then the sums."""
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
    """Read the given logs and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('logs', nargs='+', type=Path)
    options = parser.parse_args(arguments)
    table = SilenceTable()
    for line in read_lines(options.logs):
        table.add(line)
    print_table(table)
    return 0
