"""Run seeds of the soak test: ``python -m soak``.

Each seed runs in a separate process.  The exit status is 0 if no promise
was broken, 1 if one was, and 2 for invalid arguments.  Logs of a failed
seed are kept and their directory is printed.
"""

import argparse
import asyncio
from concurrent.futures import ThreadPoolExecutor
import json
from pathlib import Path
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile

from attrs import asdict

from soak import run
from soak.deployment import Size
from soak.regressions import REGRESSION_SEEDS

# Wide enough that new seeds do not repeat.
SEED_BITS = 32
# Leaves room for runs with a hundred balancers.
RUN_TIMEOUT_S = 300
MAX_STDERR_CHARACTERS = 2_000
MAX_BREACHES_SHOWN = 5
# 128 + SIGTERM, as a shell reports it.
SIGTERM_EXIT_STATUS = 143


def play(seed: int, size: Size) -> int:
    """Run one seed in this process; print its outcome as a JSON line."""
    # Exit by exception so that the balancers are stopped as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(SIGTERM_EXIT_STATUS))
    directory = Path(tempfile.mkdtemp(prefix='liftmount-soak-'))
    outcome = asyncio.run(run.play(seed, size, directory))
    document = {
        'seed': seed,
        'breaches': [asdict(one) for one in outcome.breaches],
        'served_after': round(outcome.served_after, 3),
        'lag_ms': outcome.lag_ms,
        'counts': outcome.counts,
        'faults': [repr(one) for one in outcome.faults],
    }
    if outcome.breaches:
        document['logs'] = str(directory)
    else:
        shutil.rmtree(directory, ignore_errors=True)
    print(json.dumps(document), flush=True)
    return 1 if outcome.breaches else 0


def play_in_subprocess(seed: int, size: Size) -> dict:
    """Run one seed in a subprocess; return its outcome."""
    command = [sys.executable, '-m', 'soak', '--seed', str(seed)]
    command += ['--length-ms', str(size.length_ms)]
    command += ['--balancers', str(size.balancers)]
    if size.bundle is not None:
        command += ['--deployed', str(size.bundle)]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S
        )
    except subprocess.TimeoutExpired as error:
        return _make_failed_outcome(seed, repr(error))
    try:
        return json.loads(done.stdout.splitlines()[-1])
    except (ValueError, IndexError):
        return _make_failed_outcome(seed, done.stderr[-MAX_STDERR_CHARACTERS:])


def _make_failed_outcome(seed, cause):
    """Return the outcome of a run that reported none itself."""
    breach = {'promise': 'the soak itself works', 'what': cause}
    return {'seed': seed, 'breaches': [breach], 'counts': {}}


def print_outcome(outcome: dict) -> None:
    """Print a summary of a seed, with breaches and logs if it failed."""
    counts = outcome['counts']
    served = counts.get('served', 0)
    asked = served + counts.get('unserved', 0)
    word = 'FAILED' if outcome['breaches'] else 'held'
    print(
        f'seed {outcome["seed"]}: {word}; {served} of {asked} served, '
        f'{counts.get("resets", 0)} resets, after the last fault '
        f'{outcome.get("served_after", 0):.2f}, '
        f'lag {outcome.get("lag_ms", 0)} ms',
        flush=True,
    )
    for breach in outcome['breaches'][:MAX_BREACHES_SHOWN]:
        print(f'  {breach["promise"]}: {breach["what"]}', flush=True)
    if 'logs' in outcome:
        print(f'  logs: {outcome["logs"]}', flush=True)


def main() -> int:
    """Run the chosen seeds; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--seed', type=int, help='run one seed in this process'
    )
    parser.add_argument('--count', type=int, default=8, help='number of seeds')
    parser.add_argument('--first', type=int, help='first of consecutive seeds')
    parser.add_argument(
        '--regressions', action='store_true', help='seeds that failed before'
    )
    parser.add_argument(
        '--length-ms',
        type=int,
        default=Size().length_ms,
        help='length of the fault phase',
    )
    parser.add_argument(
        '--balancers',
        type=int,
        default=Size().balancers,
        help='balancers in each failure domain',
    )
    parser.add_argument(
        '--deployed',
        type=Path,
        help='a directory built by bundling: run balancers from it',
    )
    parser.add_argument('--jobs', type=int, default=2)
    options = parser.parse_args()
    bundle = options.deployed.resolve() if options.deployed else None
    size = Size(options.length_ms, options.balancers, bundle)
    if options.seed is not None:
        return play(options.seed, size)
    if options.regressions:
        seeds = list(REGRESSION_SEEDS)
    elif options.first is not None:
        seeds = list(range(options.first, options.first + options.count))
    else:
        seeds = [secrets.randbits(SEED_BITS) for _ in range(options.count)]
    failed = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for outcome in pool.map(
            lambda seed: play_in_subprocess(seed, size), seeds
        ):
            print_outcome(outcome)
            failed += bool(outcome['breaches'])
    print(f'{len(seeds) - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
