"""Asks the store whether it answers this balancer."""

import asyncio

from liftmount._internal.clock import Clock
from liftmount._internal.decisions import store_liveness
from liftmount._internal.exceptions import PlatformError
from liftmount._internal.models.addresses import Endpoint


class StoreProber:
    """Executes the decisions of ``decisions/store_liveness.py``.

    ``probe`` has ``ask(timeout_ms)``, which raises PlatformError without an
    answer, ``set_address(address)`` and ``close()``.  ``report(action)`` is
    called with all other actions, ``is_link_busy(sent_ms)`` tells whether the
    own link has been busy since a time.
    """

    def __init__(
        self, state, probe, report, is_link_busy, clock: Clock, log, counters
    ):
        self._state = state
        self._probe = probe
        self._report = report
        self._is_link_busy = is_link_busy
        self._clock = clock
        self._log = log
        self._counters = counters
        self._task = None

    def decide(self, event) -> None:
        """Process an event, and report what follows from it."""
        for action in store_liveness.decide(self._state, event):
            match action:
                case store_liveness.SendProbe(timeout_ms):
                    self._task = asyncio.create_task(self._ask(timeout_ms))
                case _:
                    self._report(action)

    async def _ask(self, timeout_ms):
        sent_ms = self._clock.now_ms()
        is_answered = False
        try:
            await self._probe.ask(timeout_ms)
            is_answered = True
        except (PlatformError, TimeoutError) as error:
            self._counters.count('retried.store_probe')
            self._log.write('store', 'probe_failed', cause=str(error))
        except Exception as error:
            # Whatever the store sent must not end the probes.
            self._counters.count('retried.store_probe')
            self._log.write('store', 'probe_broke', cause=repr(error))
        ended_ms = self._clock.now_ms()
        ended = store_liveness.ProbeEnded(
            sent_ms, is_answered, ended_ms, self._is_link_busy(sent_ms)
        )
        self.decide(ended)

    def set_address(self, address: Endpoint) -> None:
        """Replace the address of the store; this closes the connection."""
        self._probe.set_address(address)

    def close(self) -> None:
        """End the probe in progress and close the connection."""
        if self._task is not None:
            self._task.cancel()
        self._probe.close()
