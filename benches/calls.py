"""Who calls the store, when and why: a table from logs of balancers.

Each line of a log holds one JSON object, maybe behind a prefix.  The table
counts calls by what was called, how it ended, and why the balancer that
made it reads the store at all.
"""

import argparse
from collections import Counter
from pathlib import Path

from benches.silence import read_lines

# Why somebody reads that was never told to.
INITIAL_REASON = 'from its start'
SPAN_MS = 2_000


def count_calls(lines: list[dict]) -> tuple[Counter, Counter]:
    """Count calls by reason and outcome, and by spans of time.

    ``lines`` are those of one balancer, in the order of time.
    """
    reason = INITIAL_REASON
    kinds = Counter()
    spans = Counter()
    for line in lines:
        match line:
            case {'event': 'start'}:
                reason = INITIAL_REASON
            case {'event': 'reading'}:
                reason = line['reason']
            case {'event': 'called'}:
                call = line['call']
                if call == 'watch' and line['wait_ms'] <= 1:
                    call = 'brief watch'
                kinds[reason, line['part'], call, line['outcome']] += 1
                spans[line['at_ms'] // SPAN_MS, reason] += 1
    return kinds, spans


def count_all(lines: list[dict]) -> tuple[Counter, Counter]:
    """Count the calls of several balancers, as count_calls does."""
    kinds = Counter()
    spans = Counter()
    for one in group_by_instance(lines).values():
        found = count_calls(one)
        kinds += found[0]
        spans += found[1]
    return kinds, spans


def main(arguments) -> int:
    """Print the tables of logs, one log for each balancer."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('logs', nargs='+', type=Path)
    options = parser.parse_args(arguments)
    kinds, spans = count_all(read_lines(options.logs))
    print(f'{"calls":>6}  why, what, outcome')
    for key, count in kinds.most_common():
        print(f'{count:6}  {", ".join(key)}')
    print(f'{"from s":>6} {"calls":>6}  why')
    first = min((span for span, _why in spans), default=0)
    for (span, why), count in sorted(spans.items()):
        from_s = (span - first) * SPAN_MS // 1_000
        print(f'{from_s:6} {count:6}  {why}')
    return 0


def group_by_instance(lines: list[dict]) -> dict[str, list[dict]]:
    """Return lines by the instance that wrote them.

    ``from`` names it where logs of several instances are in one file; the
    others are one instance's.
    """
    found = {}
    for line in lines:
        found.setdefault(line.get('from', ''), []).append(line)
    return found
