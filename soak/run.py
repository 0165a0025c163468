"""One run: inject the faults of a plan, check the result."""

import asyncio
from pathlib import Path

from attrs import frozen

from liftmount._internal.clock import seconds
from soak import clients
from soak import faults
from soak.deployment import Deployment
from soak.deployment import Size
from soak.fault_injection import inject
from soak.regressions import REGRESSION_SEEDS

# After the last fault: recovery time, then the time that is checked.
SETTLE_MS = 5_000
RECOVERY_CHECK_MS = 4_000
# Several times the memory of a balancer under this load.
MAX_MEMORY_MB = 100


@frozen
class Outcome:
    """Result of a run."""

    seed: int
    breaches: tuple
    counts: dict
    served_after: float
    faults: tuple
    lag_ms: int
    slow_requests: tuple = ()


async def play(
    seed: int, size: Size, directory: Path, plan: tuple = ()
) -> Outcome:
    """Run the faults of a seed, or those of ``plan`` if given."""
    run = Deployment(seed, size, directory)
    try:
        await run.start()
        plan = plan or _draw_plan(run, seed)
        await _inject_faults(run, plan)
        since_ms = run.clock.now_ms() + SETTLE_MS
        await _check_final_state(run)
    finally:
        await run.stop()
    share = run.checker.check_recovery(since_ms, since_ms + RECOVERY_CHECK_MS)
    return Outcome(
        seed,
        tuple(run.checker.breaches),
        dict(run.checker.counts),
        share,
        tuple(plan),
        run.lag_ms,
        tuple(run.checker.slow_requests),
    )


def _draw_plan(run, seed):
    length_ms = run.size.length_ms
    plan = faults.draw_plan(
        seed, length_ms, len(run.balancers), len(run.target_hosts)
    )
    # Regression seeds keep the plan with which they failed.
    if seed not in REGRESSION_SEEDS:
        plan += faults.draw_evacuations(seed, length_ms)
        plan += faults.draw_extra_faults(
            seed, length_ms, len(run.target_hosts)
        )
        plan += faults.draw_signalled_stops(
            seed, length_ms, len(run.balancers)
        )
    return sorted(plan, key=lambda fault: fault.at_ms)


async def _inject_faults(run, plan):
    started_ms = run.clock.now_ms()
    running = []
    for fault in plan:
        wait_ms = started_ms + fault.at_ms - run.clock.now_ms()
        await asyncio.sleep(seconds(max(0, wait_ms)))
        running.append(asyncio.create_task(inject(run, fault)))
    for result in await asyncio.gather(*running, return_exceptions=True):
        if isinstance(result, Exception):
            run.checker.report_breach('the soak itself works', repr(result))


async def _check_final_state(run):
    """Wait for recovery, then check routes and memory."""
    await asyncio.sleep(seconds(SETTLE_MS))
    checks = [
        _check_route(run, host, route, service)
        for host in run.client_hosts
        for route, service in run.routes.items()
    ]
    await asyncio.gather(*checks)
    left_ms = RECOVERY_CHECK_MS + clients.DEADLINE_MS
    await asyncio.sleep(seconds(left_ms))
    for balancer in run.balancers:
        memory_mb = balancer.memory_mb()
        if memory_mb > MAX_MEMORY_MB:
            what = f'{balancer.name} holds {memory_mb:.0f} MB'
            run.checker.report_breach('memory is bounded', what)


async def _check_route(run, host, route, service):
    """Check that a route is open if and only if it has a service."""
    flow = host.new_flow(route)
    try:
        await flow.open()
        is_open = True
    except clients.FlowError:
        is_open = False
    host.drop(flow)
    if is_open != bool(service):
        state = 'open' if is_open else 'closed'
        what = f'{route} is {state} to {host.domain}'
        run.checker.report_breach('the newest configuration is in force', what)
