"""The adapter to the platform: translation only, no decisions.

- ``packet_headers`` reads and writes the headers of packets.
- ``store`` is the client of the platform's store, ``documents`` reads its
  responses and ``partial_json`` those that are not valid JSON.
- ``objects`` converts stored objects into the types of this package.
- ``store_feed`` lists and watches the objects of each feed in ``feeds``;
  ``initial_lists`` reads the first lists during a start.
- ``settings`` reads the settings of a process.
- ``launcher``, ``__main__``, ``start`` and ``daemon`` start a balancer;
  ``programs`` starts the programs that keep their own objects in the store.

No other package uses the platform's names.
"""

__all__ = ()
