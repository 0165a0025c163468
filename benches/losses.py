"""Attribute losses of worth in benchmark reports to events.

A report covers one simulated day.  The table has a line for each window in
which worth was lost, with its cause; sums by cause and by price follow.
The cause is the latest unplanned event that overlaps the window, or the
latest planned one if there is none.
"""

import argparse
from collections import Counter
import json
from pathlib import Path

from attrs import frozen

WINDOW_S = 2.0
# How long clients' retries extend the effect of an event after its end.
AFTER_EFFECT_S = 2.0
# Smaller losses, as shares of a window's worth, are not shown.
MIN_LOSS_SHARE = 0.005
UNKNOWN = 'nothing known'


@frozen
class Loss:
    """A window in which a share of the possible worth was lost."""

    from_s: float
    requests: int
    late: int
    unserved: int
    share: float
    cause: str


def find_cause(events: list[dict], from_s: float) -> str:
    """Return the kind of the event that caused the loss in a window."""
    found = [
        one
        for one in events
        if one['at_s'] < from_s + WINDOW_S
        and from_s < one['to_s'] + AFTER_EFFECT_S
    ]
    if not found:
        return UNKNOWN
    last = max(found, key=lambda one: (not one['planned'], one['at_s']))
    return last['kind']


def read_losses(report: dict) -> list[Loss]:
    """Return the losses in a report, in order of time."""
    losses = []
    for window in report['windows']:
        share = 1.0 - window['worth']
        if share < MIN_LOSS_SHARE:
            continue
        from_s = float(window['name'])
        unserved = window['refused'] + window['failed']
        cause = find_cause(report['events'], from_s)
        losses.append(
            Loss(from_s, window['n'], window['late'], unserved, share, cause)
        )
    return losses


def print_report(path: Path, sums: Counter) -> None:
    """Print the table of one report; add to the sums by cause."""
    report = json.loads(path.read_text())
    total = sum(window['n'] for window in report['windows'])
    print(f'{path.name}: worth {report["G"]:.3f}')
    print(f'{"from s":>8} {"asked":>6} {"late":>5} {"lost":>5} of day  cause')
    for one in read_losses(report):
        share_of_day = one.share * one.requests / total
        sums[one.cause] += share_of_day
        print(
            f'{one.from_s:8.0f} {one.requests:6} {one.late:5} '
            f'{one.unserved:5} {share_of_day:.4f}  {one.cause}'
        )
    for name, _amount, price in report['prices']:
        if price >= 0.0005:
            print(f'{"price":>8} {"":18} {price:.4f}  {name}')
            sums[f'price: {name}'] += price


def main(arguments) -> int:
    """Print a table for each report, then means over all reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('reports', nargs='+', type=Path)
    options = parser.parse_args(arguments)
    sums = Counter()
    for path in options.reports:
        print_report(path, sums)
    print(f'means over {len(options.reports)} days, share of a day')
    for cause, share in sums.most_common():
        print(f'{share / len(options.reports):8.4f}  {cause}')
    return 0
