"""A balancer that a planned restart brings back resets open flows."""

import asyncio
import sys

from common.deployment import main

STALE_S = 3.0
FLOWS = 30
ROUNDS = 12
PAUSE_S = 0.3


async def use(flow, name):
    """Send requests on a flow with pauses, as clients do."""
    for turn in range(ROUNDS):
        if flow.end:
            return
        await flow.request(f'{name}-{turn}', 30, 2.0)
        await asyncio.sleep(PAUSE_S)


async def play(deployment):
    """Add a route during a planned restart; return the resets."""
    first = deployment.add_route('matindex')
    await deployment.configure()
    for _ in range(3):
        await deployment.add_endpoint('matindex', 'teku')
    await asyncio.sleep(STALE_S + 1)
    await deployment.start_balancers()
    leaver = deployment.balancers[1]
    if deployment.is_troubled:
        await leaver.stop()
    await deployment.host.flow(first).open()
    route = deployment.add_route('matindex')
    await deployment.configure()
    await asyncio.sleep(0.3)
    flows = [deployment.host.flow(route) for _ in range(FLOWS)]
    opened = await asyncio.gather(*(flow.open() for flow in flows))
    deployment.record('opened', flows=sum(opened))
    uses = [
        asyncio.create_task(use(flow, f'f{index}'))
        for index, flow in enumerate(flows)
    ]
    if deployment.is_troubled:
        await leaver.start()
        await deployment.wait_in([leaver])
        deployment.record('in again', balancer=leaver.name)
    await asyncio.gather(*uses)
    return [
        f'open flow of port {flow.src[1]}: {flow.end}, endpoint holds it'
        for flow in flows
        if flow.end == 'reset by system'
        and any(
            one.holds(flow.src, flow.route) for one in deployment.endpoints
        )
    ]


if __name__ == '__main__':
    main(sys.argv[1], play, {'teku': 2}, STALE_S)
