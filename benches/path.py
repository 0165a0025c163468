"""Measure placement, platform calls and control traffic of real processes.

Runs an example deployment without faults, then measures configuration
changes, also with a slow platform.  ``--group N`` runs N balancers in each
of two failure domains instead.
"""

import argparse
from collections import Counter
import json
from pathlib import Path
import tempfile
import time

from attrs import evolve

from stand_ins import history
from stand_ins.calls import call
from stand_ins.calls import list_stored
from stand_ins.deployment import Deployment
from stand_ins.plans import ALL_PLANS

SETTLE_S = 4.0
SLOW_PLATFORM_MS = 500
CHANGES = 5


def read_counters(deployment):
    """Return (time, platform calls by IP, control bytes by balancer)."""
    calls = call(deployment.platform, '/calls')
    control = {
        name: deployment.inspect(name)['data']['counters'].get(
            'control_bytes', 0
        )
        for name in deployment.running_balancers()
    }
    return time.monotonic(), Counter(calls), control


def measure_steady(deployment, seconds):
    """Return calls and control bytes per second while nothing changes."""
    start_s, calls, control = read_counters(deployment)
    time.sleep(seconds)
    end_s, later_calls, later_control = read_counters(deployment)
    took_s = end_s - start_s
    # Calls of the tool come from other addresses.
    by_balancer = {
        ip: later_calls[ip] - calls[ip]
        for _domain, ip in deployment.balancers.values()
    }
    rates = [
        (later_control[name] - control[name]) / took_s for name in control
    ]
    return {
        'platform_calls_per_second': round(
            sum(by_balancer.values()) / took_s, 2
        ),
        'control_bytes_per_second_mean': round(sum(rates) / len(rates), 1),
        'control_bytes_per_second_most': round(max(rates), 1),
    }


def measure_change(deployment, number):
    """Return the milliseconds until a change is in force everywhere."""
    team = deployment.plan.teams[0]
    document = deployment.team_document(team)
    service = deployment.plan.services[-1].name
    document['services'] = {service: {'deadline_ms': 9_000 + number}}
    done = deployment.apply('team', document)
    start_s = time.monotonic()
    version = int(done.stdout.split()[-1].rstrip('.'))
    while True:
        statuses = list_stored(deployment.platform, 'status')
        values = [one.value for one in statuses]
        if all(
            one['revision'] >= version and not one['missing'] for one in values
        ):
            return round((time.monotonic() - start_s) * 1000)
        time.sleep(0.02)


def main(arguments) -> int:
    """Run the deployment and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', default='montevideo')
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument('--streams', type=int, default=600)
    parser.add_argument('--group', type=int, default=0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--steady-only', action='store_true', help='no callers, no changes'
    )
    options = parser.parse_args(arguments)
    plan = ALL_PLANS[options.deployment](options.streams)
    if options.group:
        plan = evolve(plan, domains=dict.fromkeys('ab', options.group))
    with tempfile.TemporaryDirectory(prefix='liftmount-') as directory:
        deployment = Deployment(plan, Path(directory), options.seed)
        try:
            document = run(deployment, options)
        finally:
            deployment.stop()
    for key, value in document.items():
        print(f'{key:32} {value}')
    print(json.dumps(document))
    return 0


def run(deployment, options):
    """Run the deployment; return its figures by name."""
    deployment.start()
    time.sleep(SETTLE_S)
    document = measure_steady(deployment, options.seconds)
    document['balancers'] = len(deployment.balancers)
    if options.steady_only:
        return document
    for team in deployment.plan.teams:
        deployment.start_callers(team)
    time.sleep(2 * SETTLE_S)
    since_ms = time.time_ns() // 1_000_000
    time.sleep(options.seconds)
    deployment.stop_callers()
    caller_records, target_records = deployment.records()
    report = history.check(caller_records, target_records)
    history.measure_imbalance(
        report, target_records, deployment.target_plans, set(), since_ms
    )
    latencies_ms = sorted(
        one['took_ms'] for one in caller_records if one['event'] == 'request'
    )
    changes = [measure_change(deployment, n) for n in range(CHANGES)]
    deployment.platform_faults(delay_ms=SLOW_PLATFORM_MS)
    slow = [measure_change(deployment, CHANGES + n) for n in range(CHANGES)]
    return document | {
        'faults': report.faults(),
        'requests': report.requests,
        'may_have_run_share': report.may_have_run_share,
        'imbalance_by_pool': report.imbalance_by_pool,
        'p50_ms': latencies_ms[len(latencies_ms) // 2],
        'p99_ms': latencies_ms[int(len(latencies_ms) * 0.99)],
        'in_force_ms': sorted(changes),
        'in_force_slow_platform_ms': sorted(slow),
    }
