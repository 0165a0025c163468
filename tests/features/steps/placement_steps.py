"""Steps for placement, capacity and admission."""

import random

from behave import given
from behave import then
from behave import when

from benches.fakes import FakeTarget
from benches.fakes import Timeline
from benches.policies import OwnerPolicy
from benches.policies import POLICIES
from benches.policy import Run
from benches.policy import scenarios
from liftmount._internal.decisions.admission import AdmissionQueue
from liftmount._internal.decisions.capacity import Capacity
from liftmount._internal.decisions.pool import FAILURES_TO_EJECT
from liftmount._internal.decisions.pool import Pool
from liftmount._internal.decisions.pool import TargetInfo


@when('the bench runs "{name}" with seed {seed:d}')
def run_bench(context, name, seed):
    scenario = next(one for one in scenarios() if one.name == name)
    found = {
        policy.name: Run(scenario, policy, seed).run() for policy in POLICIES
    }
    context.__dict__.setdefault('figures', {})[name] = found
    context.found = found


@then('the imbalance of liftmount is at most {most:f}')
def imbalance_at_most(context, most):
    found = context.found[OwnerPolicy.name]['imbalance']
    assert found <= most, found


@then('it is below that of each baseline')
def below_baselines(context):
    own = context.found[OwnerPolicy.name]['imbalance']
    for name, figures in context.found.items():
        if name != OwnerPolicy.name:
            assert own < figures['imbalance'], (name, own, figures)


@then('at least {share:f} of the possible work was done in time')
def goodput(context, share):
    found = context.found[OwnerPolicy.name]['goodput_share']
    assert found >= share, found


@then(
    'the p99 of urgent requests at "{high}" is at most twice that at "{low}"'
)
def urgent_p99(context, high, low):
    key = 'p99_urgent_ms'
    loaded = context.figures[high][OwnerPolicy.name][key]
    base = context.figures[low][OwnerPolicy.name][key]
    assert loaded <= 2 * base, (loaded, base)


@then('more than a tenth of the may-wait requests were run at "{name}"')
def may_wait_floor(context, name):
    found = context.figures[name][OwnerPolicy.name]['may_wait_share']
    assert found > 0.1, found


@then('at most a tenth of the sends were retries')
def few_retries(context):
    found = context.found[OwnerPolicy.name]['retries']
    assert found <= 0.1, found


class SaturatedTarget:
    """Keeps one target as full as its capacity estimate allows."""

    def __init__(self, slots, queue):
        self.timeline = Timeline()
        self.target = FakeTarget('t', 'a', slots, 1.0, self.timeline, queue)
        self.random = random.Random(11)
        self.capacity = Capacity()
        self.in_progress = 0
        self.ended = 0
        self.made = 0

    def may_send(self):
        limit = self.capacity.limit
        if self.in_progress < limit:
            return True
        if self.in_progress > limit:
            return False
        return self.capacity.may_try(limit + 1, int(self.timeline.now_ms))

    def fill(self, count):
        while self.made < count and self.may_send():
            self.send()

    def send(self):
        self.made += 1
        self.in_progress += 1
        level = self.in_progress
        ended = self.ended
        started_ms = self.timeline.now_ms

        def on_answer():
            self.in_progress -= 1
            now_ms = self.timeline.now_ms
            self.capacity.completed(
                'service',
                level,
                self.ended - ended,
                now_ms - started_ms,
                int(now_ms),
            )
            self.ended += 1

        def on_refusal():
            self.in_progress -= 1
            self.ended += 1
            self.capacity.shed(level, int(self.timeline.now_ms))

        work_ms = self.random.gammavariate(4, 25)
        self.submit(work_ms, on_answer, on_refusal)

    def submit(self, work_ms, on_answer, on_refusal):
        self.target.submit(work_ms, 1e12, on_answer, on_refusal)

    def run(self, count):
        while self.made < count:
            self.fill(count)
            self.timeline.run(self.timeline.now_ms + 5)


class SharedProcessorTarget(SaturatedTarget):
    """A target whose requests all share one processor."""

    def submit(self, work_ms, on_answer, _on_refusal):
        end_ms = self.timeline.now_ms + work_ms * self.in_progress
        self.timeline.schedule(end_ms, on_answer)


@given('a target with {slots:d} slots and a queue of {queue:d}')
def target_with(context, slots, queue):
    context.saturated = SaturatedTarget(slots, queue)


@given('a target that shares one processor among all requests')
def target_sharing(context):
    context.saturated = SharedProcessorTarget(1, 0)


@when('it is kept full for {count:d} requests')
def kept_full(context, count):
    context.saturated.run(count)


@then('its limit is {limit:d}')
def limit_is(context, limit):
    assert context.saturated.capacity.limit == limit, context.saturated


@then('its limit is at most {limit:d}')
def limit_at_most(context, limit):
    assert context.saturated.capacity.limit <= limit


@given('a pool of {count:d} targets')
def make_pool(context, count):
    context.pool = Pool('team/pool', 'a')
    infos = [TargetInfo(f't{n}', 'a') for n in range(count)]
    context.pool.update(infos, 0)


@when('{count:d} targets fail often')
def targets_fail(context, count):
    for number in range(count):
        for _ in range(FAILURES_TO_EJECT):
            context.pool.failed(f't{number}', 10)


@when('1 target fails often in a new pool of {count:d}')
def one_fails(context, count):
    make_pool(context, count)
    targets_fail(context, 1)


@then('all {count:d} targets may be used')
@then('only {count:d} targets may be used')
def usable(context, count):
    assert len(context.pool.usable(11)) == count


@then('a choice scores no more than {count:d} targets')
def choice_cost(context, count):
    scored = []
    pool = context.pool
    original = Pool._score

    def counting(self, one, prior, now_ms):
        scored.append(one.name)
        return original(self, one, prior, now_ms)

    Pool._score = counting
    try:
        pool.choose(1)
    finally:
        Pool._score = original
    assert 0 < len(scored) <= count, len(scored)


@given(
    'a queue with {urgent:d} urgent, {normal:d} normal and {wait:d} may-wait'
)
def make_queue(context, urgent, normal, wait):
    context.queue = AdmissionQueue()
    for priority, count in (
        ('urgent', urgent),
        ('normal', normal),
        ('may-wait', wait),
    ):
        for _ in range(count):
            context.queue.push(priority, priority)


@when('{count:d} of them start')
def some_start(context, count):
    context.started = [context.queue.pop() for _ in range(count)]


@then(
    'at least {urgent:d} urgent, {normal:d} normal and {wait:d} may-wait '
    'have started'
)
def have_started(context, urgent, normal, wait):
    started = context.started
    assert started.count('urgent') >= urgent, started
    assert started.count('normal') >= normal, started
    assert started.count('may-wait') >= wait, started
