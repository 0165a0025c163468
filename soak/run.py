"""One run: the faults as they come, and the verdict."""

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

# After the last fault: until requests have to be served again, and how
# long this is looked at.
SETTLE_MS = 5_000
RECOVERY_CHECK_MS = 4_000
# A process of a balancer holds some 15 MB; growth beyond this is a leak.
MAX_MEMORY_MB = 100


@frozen
class Outcome:
    """What a run showed."""

    seed: int
    breaches: tuple
    counts: dict
    served_after: float
    faults: tuple
    lag_ms: int


async def play(
    seed: int, size: Size, directory: Path, plan: tuple = ()
) -> Outcome:
    """Play a seed, or a plan of one's own; return what it showed."""
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
    )


def _draw_plan(run, seed):
    length_ms = run.size.length_ms
    plan = faults.draw_plan(
        seed, length_ms, len(run.balancers), len(run.target_hosts)
    )
    # What failed once is played as it was.
    if seed not in REGRESSION_SEEDS:
        plan += faults.draw_evacuations(seed, length_ms)
        plan += faults.draw_extra_faults(
            seed, length_ms, len(run.target_hosts)
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
    """Wait until all must be well again, and look at what is."""
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
    """See whether the newest configuration is in force."""
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
