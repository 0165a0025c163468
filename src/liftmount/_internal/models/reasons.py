"""The reasons for refusals and retries; each is a statsd counter."""

from enum import Enum


class Reason(Enum):
    """Why a packet, flow or request was refused or retried.

    The value is the name of the counter below ``liftmount.refused`` or
    ``liftmount.retried``; docs/operators/counters.md explains each.
    """

    # Refused packets.
    MALFORMED_PACKET = 'malformed_packet'
    UNKNOWN_ADDRESS = 'unknown_address'
    CALLER_NOT_ALLOWED = 'caller_not_allowed'
    TOKEN_FORGED = 'token_forged'
    TOKEN_KEY_UNKNOWN = 'token_key_unknown'
    TOKEN_OTHER_SERVICE = 'token_other_service'
    ADDRESS_CHANGED_HANDS = 'address_changed_hands'
    NO_KEY = 'no_key'
    TOO_MANY_HOPS = 'too_many_hops'
    WAITED_TOO_LONG = 'waited_too_long'
    UNKNOWN_PEER = 'unknown_peer'
    WRONG_MODE = 'wrong_mode'
    # Refused requests and flows.
    HOME_GONE = 'home_gone'
    FLOW_UNKNOWN = 'flow_unknown'
    FLOW_LIMIT = 'flow_limit'
    NUMBER_TOO_OLD = 'number_too_old'
    BALANCER_LEAVING = 'balancer_leaving'
    NO_TARGET = 'no_target'
    QUEUE_FULL = 'queue_full'
    DEADLINE_CANNOT_BE_MET = 'deadline_cannot_be_met'
    DEADLINE_PASSED = 'deadline_passed'
    CANCELLED = 'cancelled'
    DISPLACED_BY_URGENT = 'displaced_by_urgent'
    TARGET_SHED = 'target_shed'
    TARGET_LOST = 'target_lost'
    TARGET_REPLACED = 'target_replaced'
    TARGET_LEAVING = 'target_leaving'
    BODY_TOO_LARGE = 'body_too_large'
    # Retries.
    RETRY_SHED = 'retry_shed'
    RETRY_NOT_WRITTEN = 'retry_not_written'
    RETRY_CONNECTION_LOST = 'retry_connection_lost'
    RETRY_PUSH_LOST = 'retry_push_lost'
    RETRY_BUDGET_SPENT = 'retry_budget_spent'
    # Control plane.
    INVALID_OBJECT = 'invalid_object'
    STALE_VERSION = 'stale_version'
    LEASE_LOST = 'lease_lost'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    CONTROL_BUDGET_SPENT = 'control_budget_spent'
