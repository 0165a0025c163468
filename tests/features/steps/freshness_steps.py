"""Steps on which answers of the store confirm which kinds of objects."""

import random

from behave import given
from behave import then
from behave import when

from liftmount._internal.decisions import freshness
from liftmount._internal.models.feeds import Delta
from liftmount._internal.models.feeds import Listing
from liftmount._internal.models.feeds import TARGETS
from liftmount._internal.models.records import Tick

START_MS = 10_000
TICK_MS = 50
FEEDS = (*freshness.DEPENDENT_FEEDS, TARGETS)
SEED = 11


def read_answer(text, now_ms):
    """Return the event of words such as ``targets 12 by 11 12``."""
    head, _by, changes = text.partition(' by ')
    *lagging, feed, revision = head.split()
    revisions = tuple(int(one) for one in changes.split())
    update = Delta((), (), int(revision), changes=revisions)
    if lagging:
        update = Listing((), int(revision), may_lag=True)
    return freshness.Answered(feed, update, now_ms)


@given('a member that has begun to read')
def begun_to_read(context):
    context.state = freshness.FreshnessState()
    freshness.decide(context.state, freshness.ReadingStarted())


@when('the store answers: {answers}')
def store_answers(context, answers):
    if 'state' not in context:
        context.state = freshness.FreshnessState()
    context.now_ms = START_MS
    context.actions = []
    for text in answers.split(', '):
        event = read_answer(text, context.now_ms)
        context.actions += freshness.decide(context.state, event)


@when('{interval:d} ms go by in ticks')
def ticks_go_by(context, interval):
    for _ in range(interval // TICK_MS):
        context.now_ms += TICK_MS
        found = freshness.decide(context.state, Tick(context.now_ms))
        context.actions += found


@then('routes are known as of {routes:d}, and evacuations as of '
      '{evacuations:d}')  # fmt: skip
def known_as_of(context, routes, evacuations):
    known = context.state.known
    found = tuple(known.get(feed, 0) for feed in freshness.DEPENDENT_FEEDS)
    assert found == (routes, evacuations), found
    # A feed without an answer of its own is advanced by a Confirm.
    confirms = [
        one for one in context.actions if type(one) is freshness.Confirm
    ]
    assert all(one.delta.revision <= known[one.feed] for one in confirms), (
        confirms
    )


@when('a call for {feed} fails')
def call_fails(context, feed):
    context.failures = freshness.count_affected_feeds(context.state, feed)


@then('that counts as {count:d} failed calls')
def counts_as(context, count):
    assert context.failures == count, context.failures


@then('the feeds {feeds} are queried')
def feeds_queried(context, feeds):
    found = sorted(
        one.feed
        for one in context.actions
        if isinstance(one, freshness.ReadFeed)
    )
    wanted = [] if feeds == 'none' else feeds.split(', ')
    assert found == wanted, found


class StoreHistory:
    """A store that changes at random, and answers that may be late."""

    def __init__(self, rng, answers):
        self.rng = rng
        self.answers = answers
        self.changes = []
        self.state = freshness.FreshnessState()
        self.pending_answers = []
        self.read = dict.fromkeys(FEEDS, 0)
        self.delivered = dict.fromkeys(FEEDS, 0)
        self.now_ms = START_MS
        self.confirmed_both = []
        self.wrong = []

    def run(self, steps):
        """Change the store, query it and deliver its answers."""
        freshness.decide(self.state, freshness.ReadingStarted())
        for _ in range(steps):
            self.now_ms += self.rng.randrange(1, TICK_MS)
            if self.rng.random() < 0.3:
                self.changes.append(self.rng.choice(FEEDS))
            self.query(self.rng.choice(FEEDS))
            in_order = self.answers == 'come in order'
            while self.pending_answers and (
                in_order or self.rng.random() < 0.5
            ):
                index = 0
                if self.answers == 'overtake each other':
                    index = self.rng.randrange(len(self.pending_answers))
                self.deliver(self.pending_answers.pop(index))

    def query(self, feed):
        """Queue an answer with the changes since the last query."""
        if any(one.feed == feed for one in self.pending_answers):
            return
        revision = len(self.changes)
        since = self.read[feed]
        revisions = tuple(
            number
            for number in range(since + 1, revision + 1)
            if self.changes[number - 1] == feed
        )
        if self.answers == 'leave changes out':
            revisions = tuple(
                one for one in revisions if self.rng.random() < 0.7
            )
        self.read[feed] = revision
        update = Delta((), (), revision, since, changes=revisions)
        self.pending_answers.append(
            freshness.Answered(feed, update, self.now_ms)
        )

    def deliver(self, event):
        """Deliver an answer and check what it confirmed."""
        self.delivered[event.feed] = event.update.revision
        found = freshness.decide(self.state, event)
        for one in found:
            if isinstance(one, freshness.Confirm):
                self.check(one)
        if event.feed == TARGETS:
            kinds = [type(one) for one in found]
            self.confirmed_both.append(kinds.count(freshness.Confirm) == 2)

    def check(self, confirmed):
        """Record a feed that is confirmed despite an undelivered change."""
        undelivered = range(
            self.delivered[confirmed.feed] + 1, confirmed.delta.revision + 1
        )
        if any(self.changes[one - 1] == confirmed.feed for one in undelivered):
            self.wrong.append(confirmed)
        self.delivered[confirmed.feed] = confirmed.delta.revision
        self.read[confirmed.feed] = max(
            self.read[confirmed.feed], confirmed.delta.revision
        )


@when('{count:d} random histories of a store are simulated, where answers '
      '{answers}')  # fmt: skip
def random_stores(context, count, answers):
    rng = random.Random(SEED)
    context.histories = [StoreHistory(rng, answers) for _ in range(count)]
    for one in context.histories:
        one.run(80)


@then('nothing was confirmed that had changed unseen')
def nothing_wrong(context):
    wrong = [one.wrong for one in context.histories if one.wrong]
    assert not wrong, wrong[:3]


@then('at least {share:d} % of the answers about targets confirmed both '
      'other kinds')  # fmt: skip
def share_confirmed(context, share):
    confirmed_both = [
        both for one in context.histories for both in one.confirmed_both
    ]
    assert sum(confirmed_both) >= len(confirmed_both) * share / 100, (
        sum(confirmed_both),
        len(confirmed_both),
    )
