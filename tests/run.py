"""Runs the behave suite and ends with ``N passed, N failed``.

Scenarios with real processes run in a few jobs side by side; each has its
own loopback addresses.  ``--fast`` leaves them out.  ``--times N`` runs
what was chosen N times in a row.
"""

import argparse
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
import re
import subprocess
import sys

from behave.parser import parse_file

FEATURES = Path('tests/features')
PROCESS_TAG = 'processes'
SUMMARY = re.compile(r'(\d+) scenarios? passed, (\d+) failed')
ERRORS = re.compile(r'scenarios? passed.*?(\d+) error')
LIMIT_S = 600


def list_scenarios(paths):
    """Return locations of (fast features, scenarios with processes)."""
    fast = []
    slow = []
    for path in paths:
        feature = parse_file(str(path))
        if feature is None:
            continue
        if PROCESS_TAG not in feature.tags:
            fast.append(str(path))
            continue
        slow += [
            f'{path}:{scenario.location.line}'
            for scenario in feature.walk_scenarios()
        ]
    return fast, slow


def run_behave(locations):
    """Run behave on locations; return (passed, failed, output)."""
    command = [sys.executable, '-m', 'behave', '--format', 'plain']
    command += ['--no-skipped', *locations]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=LIMIT_S
        )
    except subprocess.TimeoutExpired as error:
        return 0, 1, f'{locations} took above {LIMIT_S} s: {error}'
    output = done.stdout + done.stderr
    found = SUMMARY.search(output)
    if found is None:
        return 0, 1, output
    passed, failed = map(int, found.groups())
    errors = ERRORS.search(output)
    failed += int(errors.group(1)) if errors else 0
    if done.returncode and not failed:
        failed = 1
    return passed, failed, output


def run_once(fast, slow, jobs):
    """Run everything once; return (passed, failed)."""
    batches = [fast] if fast else []
    batches += [[one] for one in slow]
    passed = failed = 0
    with ThreadPoolExecutor(jobs) as pool:
        for batch, result in zip(
            batches, pool.map(run_behave, batches), strict=True
        ):
            passed += result[0]
            failed += result[1]
            if result[1]:
                print(result[2], flush=True)
            name = batch[0] if len(batch) == 1 else 'decisions and product'
            word = 'failed' if result[1] else 'passed'
            print(f'{word}: {name} ({result[0]})', flush=True)
    return passed, failed


def main() -> int:
    """Run what the arguments choose; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('paths', nargs='*', type=Path)
    parser.add_argument('--fast', action='store_true')
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument('--times', type=int, default=1)
    options = parser.parse_args()
    paths = options.paths or sorted(FEATURES.rglob('*.feature'))
    fast, slow = list_scenarios(paths)
    if options.fast:
        slow = []
    passed = failed = 0
    for _ in range(options.times):
        found = run_once(fast, slow, options.jobs)
        passed += found[0]
        failed += found[1]
        if options.times > 1:
            print(f'so far {passed} passed, {failed} failed.', flush=True)
    print(f'{passed} passed, {failed} failed')
    return 0 if passed and not failed else 1


if __name__ == '__main__':
    sys.exit(main())
