"""The configuration in force on this balancer."""

import logging

from liftmount._internal.decisions.rollout import ObjectStore
from liftmount._internal.decisions.rollout import ViewBuilder
from liftmount._internal.kernel import Service
from liftmount._internal.models.messages import ConfigurationChanged
from liftmount._internal.models.messages import Inspect
from liftmount._internal.models.messages import ObjectsReceived
from liftmount._internal.models.reasons import Reason

LOG = logging.getLogger('liftmount.configuration')


class ConfigurationService(Service):
    """Owns the object store and publishes its ConfigurationView."""

    name = 'configuration'

    def __init__(self, kernel, counters):
        super().__init__(kernel)
        self.counters = counters
        self.store = ObjectStore()
        self._builder = ViewBuilder()

    def handle(self, message):
        """Handle one message of another service."""
        match message:
            case ObjectsReceived():
                self._apply(message)
            case Inspect():
                message.answer.set_result(self._inspect())
            case _:
                super().handle(message)

    def _apply(self, message):
        changed = []
        for item in message.objects:
            if not self.store.apply(item):
                self._count_stale(item)
                continue
            changed.append(item)
            if item.key in self.store.problems:
                self._log_problems(item.key)
        if not changed:
            return
        LOG.info('Applied %d objects from %s.', len(changed), message.source)
        published = ConfigurationChanged(
            view=self._builder.build(self.store),
            revision=self.store.revision,
            digest=self.store.digest,
            changed=changed,
        )
        self.kernel.stream('configuration').on_next(published)

    def _count_stale(self, item):
        known = self.store.objects[item.key]
        if item.version < known.version:
            self.counters.refused(Reason.STALE_VERSION)

    def _log_problems(self, key):
        self.counters.refused(Reason.INVALID_OBJECT)
        for problem in self.store.problems[key]:
            LOG.warning('Invalid object: %s.', problem)

    def _inspect(self):
        return {
            'revision': self.store.revision,
            'digest': self.store.digest.hex(),
            'versions': self.store.versions(),
            'problems': {
                key: [str(problem) for problem in problems]
                for key, problems in self.store.problems.items()
            },
        }
