"""Count the calls to the store in balancers' logs.

Each log line holds a JSON object, with or without a prefix.  Calls are
counted by kind, outcome, and the reason for which the balancer reads the
store.
"""

import argparse
from collections import Counter
from pathlib import Path

from benches.silence import read_lines

# Reason of a balancer that has logged none since its start.
INITIAL_REASON = 'from its start'
SPAN_MS = 2_000


def count_calls(lines: list[dict]) -> tuple[Counter, Counter]:
    """Count the calls of one balancer.

    ``lines`` are its log lines in order of time.  Returns counts by (reason,
    part, call, outcome), and by (time span, reason).
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
    """Count the calls of several balancers; see ``count_calls``."""
    kinds = Counter()
    spans = Counter()
    for one in group_by_instance(lines).values():
        found = count_calls(one)
        kinds += found[0]
        spans += found[1]
    return kinds, spans


def main(arguments) -> int:
    """Read the given logs and print the tables."""
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
    """Return the lines by instance, which is the field ``from``.

    Lines without the field are treated as those of one instance.
    """
    found = {}
    for line in lines:
        found.setdefault(line.get('from', ''), []).append(line)
    return found
