"""Private implementation; import from the modules of ``liftmount``.

- ``decisions``: state machines without I/O, ``decide(state, event)``
- ``services``: asyncio tasks that own sockets and state
- ``models``: types shared by all packages
- ``network``: UDP, HTTP, websocket frames and the client library
- ``store``: interface of the object store and its use
- ``cli`` and ``commands``: the command-line programs
- ``utils``: logs, metrics, counters and parsing of documents
"""
