"""Measure the CPU time of a balancer's imports at start.

Each figure is the median of user and system time over separate processes,
for the source tree and for the program built for deployment.
"""

import argparse
import os
from pathlib import Path
import resource
from statistics import median
import subprocess
import sys
import tempfile

import attrs
from attrs import frozen

from bundling.__main__ import build as build_program
from bundling.archive import ENTRIES
from liftmount.platform.launcher import DEPENDENCIES
from liftmount.platform.launcher import PROGRAM

MS_PER_S = 1_000
RUNS = 21
# Modules that a balancer has imported by the end of each stage.
STAGES = {
    'first packet': ENTRIES[:1],
    'event loop': ENTRIES[:2],
    'group of balancers': ENTRIES,
}
SOURCE_PRELUDE = "import sys; sys.modules['ssl'] = None\n"
PREPARE = """
names = {{'__name__': 'launcher'}}
exec(open({launcher!r}).read(), names)
import sys
sys.modules['ssl'] = None
names['prepare']({target!r})
"""


@frozen
class Form:
    """A form of the program: its prelude code and its PYTHONPATH."""

    name: str
    prelude: str
    path: str


def measure_cpu_ms(code: str, path: str, runs: int) -> float:
    """Return the median CPU time of Python running some code."""
    times_ms = []
    command = [sys.executable, '-S', '-P', '-c', code]
    for _ in range(runs):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run(command, check=True, env={'PYTHONPATH': path})
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        spent_s = after.ru_utime - before.ru_utime
        spent_s += after.ru_stime - before.ru_stime
        times_ms.append(MS_PER_S * spent_s)
    return median(times_ms)


def build(target: Path) -> Form:
    """Build the program for deployment in a directory."""
    packages = Path(attrs.__file__).parents[1]
    (target / DEPENDENCIES).symlink_to(packages)
    build_program(target)
    launcher = target / PROGRAM / 'liftmount/platform/launcher.py'
    prelude = PREPARE.format(launcher=str(launcher), target=str(target))
    return Form('deployed', prelude, str(packages))


def report(form: Form, interpreter_ms: float, runs: int) -> None:
    """Print the CPU time of each stage, without that of the interpreter."""
    for stage, modules in STAGES.items():
        imports = '\n'.join(f'import {one}' for one in modules)
        # Skip the shutdown of the interpreter, which is not measured.
        code = f'{form.prelude}{imports}\nimport os\nos._exit(0)'
        stage_ms = measure_cpu_ms(code, form.path, runs) - interpreter_ms
        print(f'{form.name:10} {stage:20} {stage_ms:8.1f} ms', flush=True)


def main(arguments) -> int:
    """Measure both forms and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=RUNS)
    options = parser.parse_args(arguments)
    interpreter_ms = measure_cpu_ms('import os; os._exit(0)', '', options.runs)
    print(f'{"bare":10} {"interpreter":20} {interpreter_ms:8.1f} ms')
    source = Form('source', SOURCE_PRELUDE, os.pathsep.join(sys.path))
    report(source, interpreter_ms, options.runs)
    with tempfile.TemporaryDirectory(prefix='liftmount-start-') as directory:
        report(build(Path(directory)), interpreter_ms, options.runs)
    return 0
