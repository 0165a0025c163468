"""Probes targets over the same links that packets take."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.decisions.target_health import ProbeResult
from liftmount._internal.exceptions import HttpError
from liftmount._internal.network.http import HttpConnection

# A slow target accepts the connection by then, which counts as an answer.
PROBE_TIMEOUT_MS = 100
WAIT_STEP_MS = 25
# Turns of the event loop after the timeout, so that an answer which arrived
# in the same turn is still processed.
FINAL_LOOP_TURNS = 5
# A longer delay of the event loop makes the probe's silence meaningless.
MAX_LOOP_DELAY_MS = 75
INSTANCE_HEADER = 'instance-id'


async def probe(clock, target, path: str) -> ProbeResult:
    """Request the health check of a target and return the result."""
    connection = HttpConnection(target.endpoint)
    task = asyncio.create_task(_check_health(connection, target, path))
    try:
        for _ in range(PROBE_TIMEOUT_MS // WAIT_STEP_MS):
            before_ms = clock.now_ms()
            await asyncio.wait({task}, timeout=seconds(WAIT_STEP_MS))
            if task.done():
                return task.result()
            if clock.now_ms() - before_ms > WAIT_STEP_MS + MAX_LOOP_DELAY_MS:
                return ProbeResult.VOID
        for _ in range(FINAL_LOOP_TURNS):
            await asyncio.sleep(0)
        if task.done():
            return task.result()
        if connection.is_open:
            return ProbeResult.ANSWERED
        return ProbeResult.SILENT
    finally:
        task.cancel()
        connection.close()


async def _check_health(connection, target, path):
    try:
        answer = await connection.request('GET', path, 2 * PROBE_TIMEOUT_MS)
    except HttpError as error:
        return _classify_error(error.__cause__)
    name = answer.headers.get(INSTANCE_HEADER, target.name)
    if name != target.name:
        return ProbeResult.REPLACED
    return ProbeResult.ANSWERED


def _classify_error(error):
    """Return the result of a probe whose request raised ``error``."""
    match error:
        case ConnectionError():
            return ProbeResult.REFUSED
        case TimeoutError():
            # The request's timeout exceeds that of the probe, so the event
            # loop was delayed.
            return ProbeResult.VOID
    return ProbeResult.SILENT
