"""New flows go to an endpoint that drains, as the zone's reader is cut off."""

import asyncio
import sys
import time

from common.deployment import main

OUTAGE_S = 6.0
BOUND_S = 3.0
GAP_S = 0.02


async def use(deployment, route, name):
    """Open a flow, send one request, close it."""
    flow = deployment.host.flow(route)
    if await flow.open():
        await flow.request(name, 20, 2.0)
    flow.close()


async def play(deployment):
    """Replace an endpoint; return the openings that came too late."""
    store = deployment.store
    route = deployment.add_route('matindex')
    await deployment.configure()
    for zone in ('teku', 'teku', 'baneshwor'):
        await deployment.add_endpoint('matindex', zone)
    await deployment.start_balancers()
    by_ip = {one.ip: one for one in deployment.balancers}
    local = [one for one in deployment.balancers if one.zone == 'teku']
    while not any(one.store_ip in store.readers for one in local):
        await asyncio.sleep(0.005)
    reader = next(one for one in local if one.store_ip in store.readers)
    # The new endpoint starts first, then the old one drains.
    await deployment.add_endpoint('matindex', 'teku')
    await asyncio.sleep(0.05)
    if deployment.is_troubled:
        store.silent.add(reader.store_ip)
        deployment.record('store silent', balancer=reader.name)
    leaver = deployment.endpoints[0]
    leaver.state = 'draining'
    acked = await store.put('servers', leaver.name, leaver.entry())
    deployment.record('draining acked', endpoint=leaver.name)
    uses = []
    while time.monotonic() - acked < OUTAGE_S:
        uses.append(
            asyncio.create_task(use(deployment, route, f'r{len(uses)}'))
        )
        await asyncio.sleep(GAP_S)
    store.silent.clear()
    await asyncio.gather(*uses)
    late = [
        (at - acked, src, by_ip[sender])
        for at, src, sender in leaver.openings
        if at - acked > BOUND_S
    ]
    return [
        f'port {src[1]} opened at {leaver.name} {after:.3f} s after the '
        f'acknowledgement, through {one.name}'
        for after, src, one in late
        if one is not reader
    ]


if __name__ == '__main__':
    main(sys.argv[1], play, {'teku': 2, 'baneshwor': 1})
