"""The configuration that one balancer holds, and the view built from it.

Versions of an object only grow.  Balancers compare the digest of all keys
and versions, and request the objects that they lack.  If an object is
invalid, its last valid content stays in force.
"""

from hashlib import blake2b

from attrs import define
from attrs import evolve
from attrs import Factory

from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.exceptions import ConfigurationError
from liftmount._internal.models.addresses import Endpoint
from liftmount._internal.models.configuration import parse_team
from liftmount._internal.models.configuration import parse_template
from liftmount._internal.models.configuration import resolve_services
from liftmount._internal.models.configuration import Service
from liftmount._internal.models.configuration import Target
from liftmount._internal.models.configuration import Team
from liftmount._internal.models.feeds import StoredObject
from liftmount._internal.models.objects import Claim
from liftmount._internal.models.objects import ClaimState
from liftmount._internal.models.objects import Drain
from liftmount._internal.models.objects import Evacuation
from liftmount._internal.models.objects import FlowKeys
from liftmount._internal.models.objects import InstanceEntry
from liftmount._internal.models.objects import ObjectKind
from liftmount._internal.models.objects import Written
from liftmount._internal.models.problems import Problem
from liftmount._internal.utils.documents import structure

DIGEST_BYTES = 8
LEAVING_STATE = 'leaving'


def target_name(team: str, name: str) -> str:
    """Return a name for a target that is unique across teams."""
    return f'{team}/{name}'


def _parse_written(parse_document):
    def parse(value, source):
        written = structure(value, Written, source)
        return parse_document(written.document, source)

    return parse


def _parse_as(kind):
    def parse(document, source):
        return structure(document, kind, source)

    return parse


_PARSERS = {
    ObjectKind.TEMPLATE.value: _parse_written(parse_template),
    ObjectKind.TEAM.value: _parse_written(parse_team),
    ObjectKind.FLOW_KEY.value: _parse_as(FlowKeys),
    ObjectKind.CLAIM.value: _parse_as(Claim),
    ObjectKind.DRAIN.value: _parse_as(Drain),
    ObjectKind.EVACUATION.value: _parse_as(Evacuation),
    ObjectKind.INSTANCE.value: _parse_as(InstanceEntry),
}


@define
class ObjectStore:
    """The newest version of each object that this balancer received.

    ``objects``, ``valid`` and ``problems`` are keyed by object key.
    ``valid`` has the newest valid content of each object, and ``revision``
    is the highest version of the objects in the digest.
    """

    objects: dict[str, StoredObject] = Factory(dict)
    valid: dict[str, object] = Factory(dict)
    problems: dict[str, list[Problem]] = Factory(dict)
    _by_kind: dict[str, dict] = Factory(dict)
    revision: int = 0
    _digest: int = 0

    @property
    def digest(self) -> bytes:
        """Return a digest of the keys and versions of all objects.

        Instance entries are not part of it.
        """
        return self._digest.to_bytes(DIGEST_BYTES, 'big')

    def apply(self, item: StoredObject) -> bool:
        """Store an object; return False if it is not newer."""
        known = self.objects.get(item.key)
        if known is not None:
            if item.version <= known.version:
                return False
            self._update_digest(known)
        self.objects[item.key] = item
        self._update_digest(item)
        self._parse(item)
        return True

    def _update_digest(self, item):
        # Each failure domain reads its own instance list, so the entries
        # differ between balancers.
        if item.kind == ObjectKind.INSTANCE.value:
            return
        self._digest ^= _hash_version(item)
        self.revision = max(self.revision, item.version)

    def _parse(self, item):
        self.problems.pop(item.key, None)
        contents = self._by_kind.setdefault(item.kind, {})
        if item.value is None:
            self.valid.pop(item.key, None)
            contents.pop(item.name, None)
            return
        parser = _PARSERS.get(item.kind)
        if parser is None:
            return
        try:
            content = parser(item.value, item.key)
            self._check_name(item, content)
        except ConfigurationError as error:
            self.problems[item.key] = error.problems
            return
        self.valid[item.key] = content
        contents[item.name] = content

    @staticmethod
    def _check_name(item, content):
        named = item.kind in ('template', 'team')
        if named and content.name != item.name:
            text = f'expected the name of the object, {item.name}'
            problem = Problem(item.key, 'name', repr(content.name), text)
            raise ConfigurationError([problem])

    def versions(self) -> dict[str, int]:
        """Return the version of each object, including deleted ones."""
        return {key: item.version for key, item in self.objects.items()}

    def newer_than(self, versions: dict[str, int]) -> list[StoredObject]:
        """Return the objects with a higher version than in ``versions``."""
        return [
            item
            for key, item in self.objects.items()
            if item.version > versions.get(key, 0)
        ]

    def of_kind(self, kind: ObjectKind) -> dict[str, object]:
        """Return the valid contents of the objects of a kind, by name."""
        return self._by_kind.get(kind.value, {})


def _hash_version(item):
    text = f'{item.key}@{item.version}'.encode()
    digest = blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


@define
class ConfigurationView:
    """The services, pools and targets that a store's objects describe.

    ``services`` has only the addresses whose claim names the service.
    ``wanted`` maps each address to all services configured for it.
    ``pools`` and ``pool_domains`` map pool keys to targets and to the
    targets' failure domains.  ``locations`` maps each team to the addresses
    of its targets by name.  ``evacuated`` names failure domains whose
    targets get no new work.
    """

    services: dict[Endpoint, Service] = Factory(dict)
    wanted: dict[Endpoint, list[Service]] = Factory(dict)
    pools: dict[str, list[Target]] = Factory(dict)
    pool_domains: dict[str, frozenset] = Factory(dict)
    locations: dict[str, dict[str, Endpoint]] = Factory(dict)
    drained: frozenset = frozenset()
    evacuated: frozenset = frozenset()
    instances: dict[str, InstanceEntry] = Factory(dict)
    keys: FlowKeys | None = None
    problems: dict[str, list[Problem]] = Factory(dict)

    def target_infos(self, pool_key: str) -> list[TargetInfo]:
        """Return the targets of a pool in the form that placement uses."""
        team = pool_key.partition('/')[0]
        infos = []
        for target in self.pools.get(pool_key, ()):
            name = target_name(team, target.name)
            leaving = self.is_leaving(name)
            infos.append(
                TargetInfo(name, target.failure_domain, leaving=leaving)
            )
        return infos

    def location(self, name: str) -> Endpoint | None:
        """Return the address of a target by its unique name, or None."""
        team, _separator, target = name.partition('/')
        return self.locations.get(team, {}).get(target)

    def is_leaving(self, name: str) -> bool:
        """Return whether a target is drained or its instance is leaving."""
        if name in self.drained:
            return True
        entry = self.instances.get(name)
        return entry is not None and entry.state == LEAVING_STATE


@define
class _ResolvedTeam:
    """The services and pools of one team, before claims are applied.

    ``granted_services`` caches (claim, service) by service name.
    """

    team: Team
    template: object
    services: list = Factory(list)
    problems: list = Factory(list)
    pools: dict[str, list[Target]] = Factory(dict)
    pool_domains: dict[str, frozenset] = Factory(dict)
    locations: dict[str, Endpoint] = Factory(dict)
    granted_services: dict[str, tuple] = Factory(dict)


@define
class ViewBuilder:
    """Builds the view, with a cache for teams that did not change."""

    _cache: dict = Factory(dict)

    def build(self, store: ObjectStore) -> ConfigurationView:
        """Return the view of the store's valid objects."""
        templates = store.of_kind(ObjectKind.TEMPLATE)
        teams = store.of_kind(ObjectKind.TEAM)
        claims = store.of_kind(ObjectKind.CLAIM)
        view = ConfigurationView(
            drained=frozenset(store.of_kind(ObjectKind.DRAIN)),
            evacuated=frozenset(store.of_kind(ObjectKind.EVACUATION)),
            instances=dict(store.of_kind(ObjectKind.INSTANCE)),
            keys=store.of_kind(ObjectKind.FLOW_KEY).get('current'),
            problems=dict(store.problems),
        )
        for name in set(self._cache) - set(teams):
            del self._cache[name]
        for name, team in teams.items():
            resolved = self._resolve(name, team, templates)
            if resolved.problems:
                view.problems[f'team/{name}'] = resolved.problems
            for service in resolved.services:
                _add_service(view, resolved, service, claims)
            view.locations[name] = resolved.locations
            view.pools.update(resolved.pools)
            view.pool_domains.update(resolved.pool_domains)
        return view

    def _resolve(self, name, team, templates):
        template = templates.get(team.template)
        cached = self._cache.get(name)
        if cached and cached.team is team and cached.template is template:
            return cached
        try:
            services = _resolve_team_services(team, template, f'team/{name}')
        except ConfigurationError as error:
            # The last valid combination of team and template stays in force.
            last = cached or _ResolvedTeam(team, None)
            return evolve(last, problems=error.problems)
        resolved = _ResolvedTeam(team, template, services)
        _group_targets(resolved)
        self._cache[name] = resolved
        return resolved


def _resolve_team_services(team, template, source):
    if template is None:
        text = 'there is no such template'
        problem = Problem(source, 'template', repr(team.template), text)
        raise ConfigurationError([problem])
    return resolve_services(team, template, source)


def _group_targets(resolved):
    """Set the pools, domains and locations from the team's targets."""
    for target in resolved.team.targets:
        key = f'{resolved.team.name}/{target.pool}'
        resolved.pools.setdefault(key, []).append(target)
        resolved.locations[target.name] = target.address
    for key, targets in resolved.pools.items():
        domains = frozenset(item.failure_domain for item in targets)
        resolved.pool_domains[key] = domains


def _add_service(view, resolved, service, claims):
    """Add a service to the view, in force only if it holds its address.

    That is the case if the claim of the address (see :mod:`claims`) is held
    by the service.
    """
    address = service.address
    view.wanted.setdefault(address, []).append(service)
    claim = claims.get(service.address_text)
    if claim is None or claim.state != ClaimState.HELD.value:
        return
    if (claim.team, claim.service) != (service.team, service.name):
        return
    known = resolved.granted_services.get(service.name)
    if known is None or known[0] is not claim:
        granted = evolve(service, generation=claim.generation)
        known = resolved.granted_services[service.name] = (claim, granted)
    view.services[address] = known[1]
