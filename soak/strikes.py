"""Brings faults about, from outside the balancers."""

import asyncio
import signal

from liftmount._internal.clock import seconds
from soak import faults
from soak import promises
from soak.deployment import Deployment
from soak.deployment import GUIDE
from soak.deployment import STEP_MS
from soak.deployment import TILES
from soak.proxy import Harm
from soak.targets import State

# An entry goes after three heartbeats of silence.
LAPSE_MS = 2_300
# Entries that lapsed with the store are back this long after its return.
BACK_MS = 1_000
# How long an address rests before another service may get it.
REUSE_MS = 2_000
# Numbers that no target of a run gets.
FOREIGN_NUMBER = 0xF0000


async def strike(run: Deployment, fault: faults.Fault) -> None:
    """Bring a fault about, and its end."""
    match fault:
        case faults.BalancerFault():
            await _strike_balancer(run, run.balancers[fault.balancer], fault)
        case faults.TargetFault():
            await _strike_target(run, _live_place(run, fault.target), fault)
        case faults.AllKilled():
            chosen = [
                _kill(run, one, fault.down_ms)
                for one in run.balancers
                if fault.domain in ('', one.domain)
            ]
            await asyncio.gather(*chosen)
        case faults.StoreTroubled():
            await _trouble(run, fault.trouble, fault.for_ms)
        case faults.HistoryForgotten():
            run.store.forget()
        case faults.EntriesLapsed():
            await _lapse(run, fault)
        case faults.RoutesChanged():
            await _change_routes(run, fault)
        case faults.DomainEvacuated():
            await _evacuate(run, fault)
        case faults.ForeignEntry():
            await _write_foreign(run, fault)


async def _strike_balancer(run, balancer, fault):
    match fault:
        case faults.BalancerKilled():
            await _kill(run, balancer, fault.down_ms)
        case faults.BalancerStopped():
            await _term(run, balancer, fault)
        case faults.BalancerPaused():
            await _pause(run, balancer, fault)
        case faults.SettingsChanged():
            _change_settings(run, balancer, fault)
        case faults.StoreLinkHarmed():
            proxy = run.store_proxies[fault.balancer]
            await _harm(run, proxy, balancer.name, fault)


async def _strike_target(run, place, fault):
    match fault:
        case faults.TargetLinkHarmed():
            await _harm(run, place.proxy, place.target.name, fault)
        case faults.TargetCrashed():
            await _crash(run, place, fault)
        case faults.TargetReplaced():
            await _replace(run, place, fault)
        case faults.TargetSlowed():
            await _slow(run, place, fault)
        case faults.TargetRestarted():
            await _restart(run, place, fault)


def _live_place(run, index):
    live = [one for one in run.places if one.target.state is State.READY]
    return live[index % len(live)]


async def _disturb(run, name, for_ms):
    """Note a disturbance that begins now; wait for its end."""
    run.touch.disturb(name, run.clock.now_ms() + for_ms)
    await asyncio.sleep(seconds(for_ms))
    run.touch.disturb(name, run.clock.now_ms())


async def _kill(run, balancer, down_ms):
    await balancer.kill()
    await _disturb(run, balancer.name, down_ms)
    await balancer.start()


async def _term(run, balancer, fault):
    if not balancer.is_running or balancer.is_expected:
        return
    process = balancer.process
    # An interpreter that has not begun to run the balancer serves nobody,
    # and ends as the signal has it.
    allowed = {0, -signal.SIGKILL}
    if not balancer.has_begun():
        allowed.add(-signal.SIGTERM)
    balancer.send(signal.SIGTERM)
    began_ms = run.clock.now_ms()
    while process.returncode is None:
        run.touch.disturb(balancer.name, run.clock.now_ms())
        await asyncio.sleep(seconds(STEP_MS))
        lasts_ms = run.clock.now_ms() - began_ms
        if lasts_ms > promises.GRACE_MS:
            _late_stop(run, balancer, lasts_ms)
            await balancer.kill()
    if process.returncode not in allowed:
        what = f'{balancer.name}: status {process.returncode}'
        run.witness.breach('a planned stop ends well', what)
    await _disturb(run, balancer.name, fault.down_ms)
    await balancer.start()


def _late_stop(run, balancer, lasts_ms):
    # A process that is paused meanwhile cannot end.
    if run.touch.until_ms.get(f'pause {balancer.name}', 0) <= (
        run.clock.now_ms() - lasts_ms
    ):
        what = f'{balancer.name} was still there after {lasts_ms} ms'
        run.witness.breach('a planned stop ends in time', what)


async def _pause(run, balancer, fault):
    pause = f'pause {balancer.name}'
    run.touch.disturb(pause, run.clock.now_ms() + fault.for_ms)
    balancer.send(signal.SIGSTOP)
    await _disturb(run, balancer.name, fault.for_ms)
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
        # What is started next needs settings that hold.
        loop = asyncio.get_running_loop()
        loop.call_later(seconds(STEP_MS), balancer.write_settings)


async def _harm(run, proxy, name, fault):
    proxy.set_harm(fault.harm)
    await _disturb(run, name, fault.for_ms)
    proxy.set_harm(Harm.NONE)


async def _trouble(run, trouble, for_ms):
    run.troubles += 1
    run.store.trouble = trouble
    await _disturb(run, 'store', for_ms)
    run.troubles -= 1
    if not run.troubles:
        run.store.trouble = ''


async def _lapse(run, fault):
    lapsed = [one.target for one in run.places[::2]]
    for target in lapsed:
        if ('servers', target.name) in run.store.objects:
            await run.store.remove('servers', target.name)
    await _trouble(run, 'answers 503', fault.for_ms)
    # Back within about two seconds of the store's return.
    await asyncio.sleep(seconds(BACK_MS))
    for target in lapsed:
        if target.name not in run.witness.leaving_ms:
            await run.write_entry(target)


async def _crash(run, place, fault):
    target = place.target
    run.touch.disturb(target.name, float('inf'))
    target.end()
    await asyncio.sleep(seconds(LAPSE_MS))
    await run.remove_entry(target)
    rest_ms = max(REUSE_MS if fault.is_reused else 0, fault.down_ms)
    await asyncio.sleep(seconds(max(0, rest_ms - LAPSE_MS)))
    service = target.service
    if fault.is_reused:
        service = TILES if service == GUIDE else GUIDE
        # The service must not run out of targets.
        await run.new_place(target.service, place.domain)
    await run.new_target(place, service)


async def _replace(run, place, fault):
    target = place.target
    target.state = State.DRAINING
    await run.new_place(target.service, place.domain)
    if fault.is_silent:
        await run.remove_entry(target)
    else:
        await run.write_entry(target)
    run.witness.leaving_ms[target.name] = run.clock.now_ms()
    await asyncio.sleep(seconds(promises.DRAIN_MS))
    # It takes no connections any more, and serves on.
    target.stop_listening()
    await asyncio.sleep(seconds(fault.linger_ms))
    if target.state is not State.ENDED:
        target.end()
        await run.remove_entry(target)


async def _restart(run, place, fault):
    target = place.target
    run.touch.disturb(target.name, float('inf'))
    target.end()
    await asyncio.sleep(seconds(fault.down_ms))
    await run.start_again(place)
    run.touch.disturb(target.name, run.clock.now_ms())


async def _write_foreign(run, fault):
    """Write an entry that names no target, and nobody's but its own."""
    good = run.places[0].target.entry()
    forms = (
        {},
        {**good, 'state': 'retired'},
        {name: one for name, one in good.items() if name != 'capacity'},
        {**good, 'address': ['nowhere']},
    )
    name = f'i-{FOREIGN_NUMBER + fault.form:x}'
    await run.store.write('servers', name, forms[fault.form])


async def _slow(run, place, fault):
    target = place.target
    target.factor = fault.factor
    await _disturb(run, target.name, fault.for_ms)
    target.factor = 1.0


async def _evacuate(run, fault):
    if ('evacuations', fault.domain) in run.store.objects:
        return
    await run.store.write('evacuations', fault.domain, {})
    run.witness.evacuated_ms[fault.domain] = run.clock.now_ms()
    await asyncio.sleep(seconds(fault.for_ms))
    del run.witness.evacuated_ms[fault.domain]
    await run.store.remove('evacuations', fault.domain)


async def _change_routes(run, fault):
    if fault.is_added or not run.added_routes:
        service = run.random.choice((GUIDE, TILES))
        run.added_routes.append(run.add_route(service))
    else:
        run.routes[run.added_routes.pop()] = ''
    await run.write_configuration()
