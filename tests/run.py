"""Runs the behave suite and ends with ``N passed, N failed``.

``--fast`` leaves out the scenarios with real processes.
"""

import re
import subprocess
import sys

SUMMARY = re.compile(r'(\d+) scenarios? passed, (\d+) failed')
ERRORS = re.compile(r'(\d+) error')


def main(arguments) -> int:
    """Run behave; return its exit status."""
    command = [sys.executable, '-m', 'behave', '--format', 'progress']
    if '--fast' in arguments:
        arguments = [one for one in arguments if one != '--fast']
        command += ['--tags', 'not @processes']
    command += arguments or ['tests/features']
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    passed = failed = 0
    for line in process.stdout:
        print(line, end='', flush=True)
        found = SUMMARY.search(line)
        if found:
            passed, failed = map(int, found.groups())
            errors = ERRORS.search(line)
            failed += int(errors.group(1)) if errors else 0
    status = process.wait()
    if status and not failed:
        failed = 1
    print(f'{passed} passed, {failed} failed')
    return status or (0 if passed else 1)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
