"""Command line of the measurements: ``./dev measure NAME [options]``."""

from importlib import import_module
import sys

BENCHES = (
    'decisions',
    'entry',
    'policy',
    'path',
    'capacity',
    'start',
    'silence',
    'ablation',
    'losses',
    'calls',
    'domain_start',
    'cold',
)


def main() -> int:
    """Run the measurement named by the first argument."""
    arguments = sys.argv[1:]
    if not arguments or arguments[0] not in BENCHES:
        names = '|'.join(BENCHES)
        print(f'usage: ./dev measure {names} [options]', file=sys.stderr)
        return 2
    module = import_module(f'benches.{arguments[0]}')
    return module.main(arguments[1:])


if __name__ == '__main__':
    sys.exit(main())
