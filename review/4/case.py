"""Open flows go to an endpoint that doesn't hold them after a planned stop."""

import asyncio
import random
import sys

from common.deployment import main

LOSS = 0.025
FLOWS = 400
OPEN_GAP_S = 0.01
ASK_GAP_S = 0.005
WORK_MS = 5
CALM_S = 5.0
LIMIT_S = 3.0
FLOW_S = 2.0
STRAYS = 3


async def begin(flow, name):
    """Open a flow and send a first request."""
    if await flow.open():
        await flow.request(name, WORK_MS, LIMIT_S)


async def ask(flow, index):
    """Send a second request, a little after those of the flows before."""
    await asyncio.sleep(index * ASK_GAP_S)
    return await flow.request(f'b{index}', WORK_MS, LIMIT_S)


def find_strays(deployment, flow):
    """Return how many packets of a flow reached others in ``flow_ms``."""
    times = sorted(
        at
        for one in deployment.endpoints
        for at, src, _route in one.strays
        if src == flow.src
    )
    return max(
        (sum(at <= other < at + FLOW_S for other in times) for at in times),
        default=0,
    )


async def play(deployment):
    """Lose some datagrams, then stop a balancer as planned."""
    random.seed(48)
    route = deployment.add_route('matindex')
    await deployment.configure()
    for _ in range(3):
        await deployment.add_endpoint('matindex', 'teku')
    await deployment.start_balancers()
    for one in deployment.endpoints:
        one.loss = LOSS if deployment.is_troubled else 0.0
    flows = []
    begun = []
    for index in range(FLOWS):
        flow = deployment.host.flow(route)
        flows.append(flow)
        begun.append(asyncio.create_task(begin(flow, f'a{index}')))
        await asyncio.sleep(OPEN_GAP_S)
    await asyncio.gather(*begun)
    for one in deployment.endpoints:
        one.loss = 0.0
    deployment.record('no more loss')
    await asyncio.sleep(CALM_S)
    for one in deployment.endpoints:
        one.strays.clear()
    leaver = deployment.balancers[1]
    stop = None
    if deployment.is_troubled:
        stop = asyncio.create_task(leaver.stop())
        await asyncio.sleep(1.2)
    held = [
        flow
        for flow in flows
        if any(one.holds(flow.src, route) for one in deployment.endpoints)
    ]
    deployment.record('open', flows=len(held))
    answers = await asyncio.gather(
        *(ask(flow, index) for index, flow in enumerate(held))
    )
    if stop is not None:
        await stop
    broken = []
    for flow, answer in zip(held, answers, strict=True):
        strays = find_strays(deployment, flow)
        if flow.end.startswith('reset') or (
            answer is None and strays >= STRAYS
        ):
            broken.append(
                f'open flow of port {flow.src[1]}: {strays} packets went to '
                f'others in {FLOW_S} s, none to its own; {flow.end}'
            )
    return broken


if __name__ == '__main__':
    main(sys.argv[1], play, {'teku': 2})
