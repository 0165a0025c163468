"""Flow tokens: what any balancer needs to route a flow, under a MAC.

Every packet of an open flow carries its token, as QUIC packets carry
connection IDs that route them (draft-ietf-quic-load-balancers), so a
balancer needs no state of its own to route it.
"""

from hashlib import blake2s
from hmac import compare_digest
from operator import attrgetter

from attrs import define
from attrs import Factory
from attrs import fields
from attrs import frozen
import cbor2

from liftmount._internal.exceptions import TokenError
from liftmount._internal.models.reasons import Reason

MAC_BYTES = 12
_ENVELOPE_LENGTH = 3


@frozen
class FlowToken:
    """The content of a flow token.

    ``home`` and ``home_incarnation`` identify the balancer process that
    opened the flow and sequences its requests.  ``target`` is empty unless
    the flow stays with one target.  ``nonce`` is unique within the home.
    """

    team: str
    service: str
    generation: int
    home: str
    home_incarnation: int
    nonce: int
    flow_id: bytes
    target: str = ''
    target_incarnation: int = 0
    failure_domain: str = ''
    issued_wall_ms: int = 0


_FIELD_NAMES = tuple(item.name for item in fields(FlowToken))
_get_field_values = attrgetter(*_FIELD_NAMES)


@define
class KeyRing:
    """Keys by id; ``current`` seals new tokens, the others only open."""

    keys: dict[int, bytes] = Factory(dict)
    current: int | None = None


def seal_token(ring: KeyRing, token: FlowToken) -> bytes:
    """Return the bytes of a token, authenticated with the current key.

    Raises TokenError when the ring has no current key.
    """
    if ring.current is None:
        raise TokenError(Reason.NO_KEY)
    inner = cbor2.dumps(_get_field_values(token))
    mac = _mac(ring.keys[ring.current], inner)
    return cbor2.dumps([ring.current, mac, inner])


def open_token(ring: KeyRing, data: bytes) -> FlowToken:
    """Return the content of a token after a check of its MAC.

    Raises TokenError if the bytes are no token, the key is unknown or the
    MAC is wrong.
    """
    try:
        outer = cbor2.loads(data)
    except Exception as error:
        raise TokenError(Reason.TOKEN_FORGED) from error
    if type(outer) is not list or len(outer) != _ENVELOPE_LENGTH:
        raise TokenError(Reason.TOKEN_FORGED)
    key_id, mac, inner = outer
    if type(key_id) is not int or type(mac) is not bytes:
        raise TokenError(Reason.TOKEN_FORGED)
    if type(inner) is not bytes:
        raise TokenError(Reason.TOKEN_FORGED)
    secret = ring.keys.get(key_id)
    if secret is None:
        raise TokenError(Reason.TOKEN_KEY_UNKNOWN)
    if not compare_digest(_mac(secret, inner), mac):
        raise TokenError(Reason.TOKEN_FORGED)
    # The MAC is right, so unknown fields come from a newer balancer.
    return FlowToken(*cbor2.loads(inner)[: len(_FIELD_NAMES)])


def _mac(secret, inner):
    return blake2s(inner, key=secret, digest_size=MAC_BYTES).digest()
