"""Waits until a socket that never blocks can be used."""

import asyncio

from liftmount._internal.clock import seconds
from liftmount._internal.utils.raw_sockets import RawSocket


async def wait_for_socket(
    socket: RawSocket, for_writing: bool, timeout_ms: float
) -> None:
    """Return once a socket can be read or written; raises TimeoutError."""
    loop = asyncio.get_running_loop()
    add, remove = loop.add_reader, loop.remove_reader
    if for_writing:
        add, remove = loop.add_writer, loop.remove_writer
    usable = asyncio.Event()
    add(socket.fileno(), usable.set)
    try:
        async with asyncio.timeout(seconds(timeout_ms)):
            await usable.wait()
    finally:
        remove(socket.fileno())
