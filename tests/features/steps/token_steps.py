"""Steps for flow tokens and request windows."""

from attrs import evolve
from behave import given
from behave import then
from behave import when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from liftmount._internal.decisions.token import FlowToken
from liftmount._internal.decisions.token import KeyRing
from liftmount._internal.decisions.token import open_token
from liftmount._internal.decisions.token import seal_token
from liftmount._internal.decisions.window import Claim
from liftmount._internal.decisions.window import Window
from liftmount._internal.exceptions import TokenError

TOKEN = FlowToken(
    team='firm-a',
    service='guidance',
    generation=3,
    home='lm-1',
    home_incarnation=2**50,
    nonce=2**60,
    flow_id=b'12345678',
    target='firm-a/guidance-1',
    target_incarnation=77,
    failure_domain='centro',
    issued_wall_ms=1_700_000_000_000,
)


@given('a key ring with keys "{ids}" that seals with key {current:d}')
def make_ring(context, ids, current):
    keys = {int(one): f'secret {one}'.encode() for one in ids.split(',')}
    context.ring = KeyRing(keys, current)


@when('a token for "{team}" and service "{service}" is sealed')
def seal_content(context, team, service):
    context.content = evolve(TOKEN, team=team, service=service)
    context.token = seal_token(context.ring, context.content)


@then('it opens to the same content')
def check_content(context):
    assert open_token(context.ring, context.token) == context.content


@then(
    'it opens with a ring that seals with key {current:d} but still has key 2'
)
def check_content_with_other_ring(context, current):
    other = KeyRing(context.ring.keys, current)
    assert open_token(other, context.token) == context.content


@when('the token is changed by {change}')
def change_token(context, change):
    token = context.token
    match change:
        case 'flipping each bit':
            context.changed = [
                token[:i] + bytes([token[i] ^ (1 << bit)]) + token[i + 1 :]
                for i in range(len(token))
                for bit in range(8)
            ]
        case 'truncation':
            context.changed = [token[:i] for i in range(len(token))]
        case 'using another key id':
            other = KeyRing({9: b'other'}, 9)
            context.changed = [seal_token(other, context.content)]
        case 'emptying it':
            context.changed = [b'']


def find_refusal_reason(ring, token):
    try:
        open_token(ring, token)
    except TokenError as error:
        return error.reason.value
    return None


@then('it is refused as "{reason}"')
def check_refused(context, reason):
    assert context.changed
    for token in context.changed:
        found = find_refusal_reason(context.ring, token)
        assert found is not None, token.hex()
        assert reason in ('any', found), found


@then('no random bytes open as a token')
def check_random_bytes(context):
    @for_any(st.binary(max_size=200))
    @settings(max_examples=500, derandomize=True, database=None)
    def check(data):
        assert find_refusal_reason(context.ring, data) is not None

    check()


@then('for any order of numbers a window grants each number at most once')
def check_granted_once(_context):
    numbers = st.lists(st.integers(1, 3_000), max_size=300)

    @for_any(numbers)
    @settings(max_examples=300, derandomize=True, database=None)
    def check(order):
        window = Window()
        granted = [n for n in order if window.claim(n) is Claim.NEW]
        assert len(granted) == len(set(granted))

    check()


@then('a window grants a fresh number above all others')
def check_fresh_number(_context):
    @for_any(st.lists(st.integers(1, 3_000), max_size=50))
    @settings(max_examples=200, derandomize=True, database=None)
    def check(order):
        window = Window()
        for number in order:
            window.claim(number)
        fresh = max(order, default=0) + 1
        assert window.peek(fresh) is Claim.NEW
        assert window.claim(fresh) is Claim.NEW
        assert window.claim(fresh) is Claim.SEEN

    check()


@given('a window that granted "{granted}"')
def make_window(context, granted):
    context.window = Window()
    for number in granted.split(','):
        assert context.window.claim(int(number)) is Claim.NEW


@when('number {number:d} is claimed')
def claim_number(context, number):
    context.claim = context.window.claim(number)


@then('the claim is "{claim}"')
def check_claim(context, claim):
    assert context.claim.value == claim, context.claim
