"""Injects faults from outside the balancers."""

import asyncio
from itertools import cycle
from itertools import repeat
import signal

from liftmount._internal.clock import seconds
from soak import faults
from soak import promises
from soak.deployment import Deployment
from soak.deployment import GUIDE
from soak.deployment import POLL_INTERVAL_MS
from soak.deployment import TILES
from soak.proxy import Harm
from soak.targets import TargetState

# The entry of a crashed target expires after three missed heartbeats.
ENTRY_EXPIRY_MS = 2_300
# Time from the recovery of the store until targets write their entries.
ENTRY_RETURN_MS = 1_000
# Time for which a process that starts gets SIGHUP in series.
START_SIGNALS_MS = 2_000
HANDLER_POLL_MS = 1
# Minimum time before another service reuses an address.
ADDRESS_REUSE_MS = 2_000
# Above the numbers of the targets of a run.
FOREIGN_NUMBER = 0xF0000


async def inject(run: Deployment, fault: faults.Fault) -> None:
    """Inject a fault; return after its end."""
    match fault:
        case faults.BalancerFault():
            await _inject_balancer_fault(
                run, run.balancers[fault.balancer], fault
            )
        case faults.TargetFault():
            await _inject_target_fault(
                run, _pick_live_host(run, fault.target), fault
            )
        case faults.AllKilled():
            chosen = [
                _kill_balancer(run, one, fault.down_ms)
                for one in run.balancers
                if fault.domain in ('', one.domain)
            ]
            await asyncio.gather(*chosen)
        case faults.StoreTroubled():
            await _fail_store(run, fault.trouble, fault.for_ms)
        case faults.HistoryForgotten():
            run.store.forget()
        case faults.EntriesLapsed():
            await _expire_entries(run, fault)
        case faults.RoutesChanged():
            await _change_routes(run, fault)
        case faults.DomainEvacuated():
            await _evacuate_domain(run, fault)
        case faults.ForeignEntry():
            await _write_foreign_entry(run, fault)


async def _inject_balancer_fault(run, balancer, fault):
    match fault:
        case faults.BalancerKilled():
            await _kill_balancer(run, balancer, fault.down_ms)
        case faults.BalancerStopSignalled():
            await _stop_with_signals(run, balancer, fault)
        case faults.BalancerStopped():
            await _stop_balancer(run, balancer, fault)
        case faults.BalancerPaused():
            await _pause_balancer(run, balancer, fault)
        case faults.SettingsChanged():
            _change_settings(run, balancer, fault)
        case faults.StoreLinkHarmed():
            proxy = run.store_proxies[fault.balancer]
            await _harm_link(run, proxy, balancer.name, fault)


async def _inject_target_fault(run, target_host, fault):
    match fault:
        case faults.TargetLinkHarmed():
            await _harm_link(
                run, target_host.proxy, target_host.target.name, fault
            )
        case faults.TargetCrashed():
            await _crash_target(run, target_host, fault)
        case faults.TargetReplaced():
            await _replace_target(run, target_host, fault)
        case faults.TargetSlowed():
            await _slow_target(run, target_host, fault)
        case faults.TargetRestarted():
            await _restart_target(run, target_host, fault)


def _pick_live_host(run, index):
    live = [
        one
        for one in run.target_hosts
        if one.target.state is TargetState.READY
    ]
    return live[index % len(live)]


async def _wait_disturbed(run, name, for_ms):
    """Record a disturbance that begins now; wait for its end."""
    run.disturbances.record(name, run.clock.now_ms() + for_ms)
    await asyncio.sleep(seconds(for_ms))
    run.disturbances.record(name, run.clock.now_ms())


async def _kill_balancer(run, balancer, down_ms):
    await balancer.kill()
    await _wait_disturbed(run, balancer.name, down_ms)
    await balancer.start()


async def _stop_balancer(run, balancer, fault):
    if not balancer.is_running or balancer.is_exit_expected:
        return
    process = balancer.process
    # SIGTERM ends an interpreter that has not installed its signal
    # handlers yet.
    allowed = {0, -signal.SIGKILL}
    if not balancer.handles(signal.SIGTERM):
        allowed.add(-signal.SIGTERM)
    balancer.send(signal.SIGTERM)
    began_ms = run.clock.now_ms()
    while process.returncode is None:
        run.disturbances.record(balancer.name, run.clock.now_ms())
        await asyncio.sleep(seconds(POLL_INTERVAL_MS))
        elapsed_ms = run.clock.now_ms() - began_ms
        if elapsed_ms > promises.GRACE_MS:
            _report_late_stop(run, balancer, elapsed_ms)
            await balancer.kill()
    if process.returncode not in allowed:
        what = f'{balancer.name}: status {process.returncode}'
        run.checker.report_breach('a planned stop ends well', what)
    await _wait_disturbed(run, balancer.name, fault.down_ms)
    await balancer.start()


async def _stop_with_signals(run, balancer, fault):
    if balancer.is_exit_expected or not balancer.handles(signal.SIGTERM):
        return
    stop = asyncio.create_task(_stop_balancer(run, balancer, fault))
    # Lets the task send the first SIGTERM.
    await asyncio.sleep(0)
    both = cycle((signal.SIGHUP, signal.SIGTERM))
    await balancer.send_series(both, fault.gap_ms)
    await stop
    while balancer.is_running and not balancer.handles(signal.SIGHUP):
        await asyncio.sleep(seconds(HANDLER_POLL_MS))
    count = START_SIGNALS_MS // fault.gap_ms
    await balancer.send_series(repeat(signal.SIGHUP, count), fault.gap_ms)


def _report_late_stop(run, balancer, elapsed_ms):
    # A paused process cannot exit.
    if run.disturbances.until_ms.get(f'pause {balancer.name}', 0) <= (
        run.clock.now_ms() - elapsed_ms
    ):
        what = f'{balancer.name} was still running after {elapsed_ms} ms'
        run.checker.report_breach('a planned stop ends in time', what)


async def _pause_balancer(run, balancer, fault):
    pause = f'pause {balancer.name}'
    run.disturbances.record(pause, run.clock.now_ms() + fault.for_ms)
    balancer.send(signal.SIGSTOP)
    await _wait_disturbed(run, balancer.name, fault.for_ms)
    balancer.send(signal.SIGCONT)


def _change_settings(run, balancer, fault):
    if fault.is_good:
        balancer.settings['bounds']['max_flow_s'] += 1
        balancer.write_settings()
    else:
        balancer.write_settings('zone = [')
    if fault.is_signalled and balancer.is_running:
        balancer.send(signal.SIGHUP)
    if not fault.is_good:
        # The next start of the balancer needs valid settings.
        loop = asyncio.get_running_loop()
        loop.call_later(seconds(POLL_INTERVAL_MS), balancer.write_settings)


async def _harm_link(run, proxy, name, fault):
    proxy.set_harm(fault.harm)
    await _wait_disturbed(run, name, fault.for_ms)
    proxy.set_harm(Harm.NONE)


async def _fail_store(run, trouble, for_ms):
    run.active_troubles += 1
    run.store.trouble = trouble
    await _wait_disturbed(run, 'store', for_ms)
    run.active_troubles -= 1
    if not run.active_troubles:
        run.store.trouble = ''


async def _expire_entries(run, fault):
    expired = [one.target for one in run.target_hosts[::2]]
    for target in expired:
        if ('servers', target.name) in run.store.objects:
            await run.store.remove('servers', target.name)
    await _fail_store(run, 'answers 503', fault.for_ms)
    await asyncio.sleep(seconds(ENTRY_RETURN_MS))
    for target in expired:
        if target.name not in run.checker.leaving_ms:
            await run.write_entry(target)


async def _crash_target(run, target_host, fault):
    target = target_host.target
    run.disturbances.record(target.name, float('inf'))
    target.end()
    await asyncio.sleep(seconds(ENTRY_EXPIRY_MS))
    await run.remove_entry(target)
    reuse_wait_ms = max(
        ADDRESS_REUSE_MS if fault.is_reused else 0, fault.down_ms
    )
    await asyncio.sleep(seconds(max(0, reuse_wait_ms - ENTRY_EXPIRY_MS)))
    service = target.service
    if fault.is_reused:
        service = TILES if service == GUIDE else GUIDE
        # Keep the number of targets of the old service.
        await run.add_target_host(target.service, target_host.domain)
    await run.new_target(target_host, service)


async def _replace_target(run, target_host, fault):
    target = target_host.target
    target.state = TargetState.DRAINING
    await run.add_target_host(target.service, target_host.domain)
    if fault.is_silent:
        await run.remove_entry(target)
    else:
        await run.write_entry(target)
    run.checker.leaving_ms[target.name] = run.clock.now_ms()
    await asyncio.sleep(seconds(promises.DRAIN_MS))
    # It accepts no more connections but still serves its flows.
    target.stop_listening()
    await asyncio.sleep(seconds(fault.linger_ms))
    if target.state is not TargetState.ENDED:
        target.end()
        await run.remove_entry(target)


async def _restart_target(run, target_host, fault):
    target = target_host.target
    run.disturbances.record(target.name, float('inf'))
    target.end()
    await asyncio.sleep(seconds(fault.down_ms))
    await run.restart_target(target_host)
    run.disturbances.record(target.name, run.clock.now_ms())


async def _write_foreign_entry(run, fault):
    """Write an invalid entry under a name that no target uses."""
    good = run.target_hosts[0].target.entry()
    forms = (
        {},
        {**good, 'state': 'retired'},
        {name: one for name, one in good.items() if name != 'capacity'},
        {**good, 'address': ['nowhere']},
    )
    name = f'i-{FOREIGN_NUMBER + fault.form:x}'
    await run.store.write('servers', name, forms[fault.form])


async def _slow_target(run, target_host, fault):
    target = target_host.target
    target.factor = fault.factor
    await _wait_disturbed(run, target.name, fault.for_ms)
    target.factor = 1.0


async def _evacuate_domain(run, fault):
    if ('evacuations', fault.domain) in run.store.objects:
        return
    await run.store.write('evacuations', fault.domain, {})
    run.checker.evacuated_ms[fault.domain] = run.clock.now_ms()
    await asyncio.sleep(seconds(fault.for_ms))
    del run.checker.evacuated_ms[fault.domain]
    await run.store.remove('evacuations', fault.domain)


async def _change_routes(run, fault):
    if fault.is_added or not run.added_routes:
        service = run.random.choice((GUIDE, TILES))
        run.added_routes.append(run.add_route(service))
    else:
        run.routes[run.added_routes.pop()] = ''
    await run.write_configuration()
