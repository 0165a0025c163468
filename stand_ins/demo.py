"""Demo: a whole deployment under load, with changes and failures.

Drains a target, stops a balancer gracefully, kills another and changes the
configuration.  The last line of output is a JSON object with figures
recorded by callers and targets.  The exit status is 0 if no guarantee was
violated, else 1.
"""

import argparse
import json
from pathlib import Path
import sys
import tempfile
import time

from stand_ins import history
from stand_ins.deployment import Deployment
from stand_ins.plans import DEPLOYMENTS

SETTLE_S = 3.0


def print_progress(text):
    """Print a line and flush it."""
    print(text, flush=True)


class Demo:
    """One run of the demo."""

    def __init__(self, deployment, run_seconds):
        self.deployment = deployment
        self.run_seconds = run_seconds
        self.plan = deployment.plan
        self.excluded = set()
        self.since_ms = 0

    def run(self):
        """Run it and return the report."""
        deployment = self.deployment
        count = len(deployment.balancers)
        print_progress(f'{self.plan.name}: starting {count} balancers ...')
        deployment.start()
        print_progress('The configuration is in force. Callers start.')
        for team in self.plan.teams:
            deployment.start_callers(team)
        time.sleep(SETTLE_S)
        self.since_ms = time.time_ns() // 1_000_000
        self._run_actions()
        deployment.stop_callers()
        status = deployment.tool('status', check=False)
        print_progress(status.stdout)
        return self._report()

    def _run_actions(self):
        step_s = self.run_seconds / 5
        for action in (
            self._drain_target,
            self._stop_balancer,
            self._kill_balancer,
            self._change_configuration,
        ):
            time.sleep(step_s)
            action()
        time.sleep(step_s)

    def _drain_target(self):
        team = self.plan.teams[0]
        pool = self.plan.pools[0].name
        target = f'{team}/{pool}-2'
        print_progress(f'Draining target {target}.')
        self.excluded.add(target)
        self.deployment.drain_target(target)

    def _stop_balancer(self):
        name = self._owner(0)
        print_progress(f'Stopping balancer {name} as planned.')
        status = self.deployment.stop_planned(name)
        self.deployment.publish_balancers()
        print_progress(f'Balancer {name} ended with status {status}.')

    def _kill_balancer(self):
        name = self._owner(0)
        print_progress(f'Killing balancer {name}.')
        self.deployment.kill(name)
        # The fabric detects the failure with a delay.
        time.sleep(1.0)
        self.deployment.publish_balancers()

    def _owner(self, index):
        """Return the owner of the pool of one of the first team's services."""
        team = self.plan.teams[0]
        service = self.plan.services[index].name
        running = self.deployment.running_balancers()
        address = self.deployment.service_address(team, service)
        answer = self.deployment.explain(running[0], address)
        return answer['owner']

    def _change_configuration(self):
        team = self.plan.teams[0]
        print_progress(f'Changing the configuration of {team}.')
        document = self.deployment.team_document(team)
        service = self.plan.services[-1]
        document['services'] = {
            service.name: {'deadline_ms': service.deadline_ms - 1_000}
        }
        started = time.monotonic()
        done = self.deployment.apply(
            'team', document, '--wait-ms', '15000', check=False
        )
        took_ms = round((time.monotonic() - started) * 1000)
        print_progress(f'{done.stdout.strip()} ({took_ms} ms, tool included)')

    def _report(self):
        caller_records, target_records = self.deployment.records()
        report = history.check(
            caller_records, target_records, self.deployment.drains
        )
        history.measure_imbalance(
            report,
            target_records,
            self.deployment.target_plans,
            self.excluded,
            self.since_ms,
        )
        return report


def show(report):
    """Print the report as a table."""
    document = report.document()
    for key, value in document.items():
        if key == 'examples':
            continue
        if isinstance(value, dict):
            value = ', '.join(f'{k} {v}' for k, v in sorted(value.items()))
        print_progress(f'  {key.replace("_", " "):22} {value}')
    for example in document['examples']:
        print_progress(f'  example: {example}')


def main() -> int:
    """Run the demo; return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default='montevideo'
    )
    parser.add_argument('--streams', type=int, default=2_000)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    plan = DEPLOYMENTS[options.deployment](options.streams)
    with tempfile.TemporaryDirectory(prefix='liftmount-') as directory:
        deployment = Deployment(plan, Path(directory), options.seed)
        try:
            report = Demo(deployment, options.seconds).run()
        finally:
            deployment.stop()
    show(report)
    print(json.dumps(report.document()), flush=True)
    return 0 if report.faults() == 0 else 1


if __name__ == '__main__':
    sys.exit(main())
