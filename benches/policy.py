"""Compare balancing policies under load and faults, with fake targets.

Prints a table and one JSON line for each scenario and policy, with medians
over the seeds.  All policies of a scenario and seed see the same arrivals.
"""

import argparse
from collections import Counter
from collections import defaultdict
import json
from multiprocessing import Pool as ProcessPool
import random
from statistics import median
import sys

from attrs import Factory
from attrs import frozen

from benches.fakes import FakeTarget
from benches.fakes import Timeline
from benches.policies import POLICIES
from benches.policies import Request

# Speeds of targets: work completed per millisecond in each slot.
FAST = 4.0
SLOW = 1.0
SPEEDS = (FAST, SLOW, SLOW, FAST, SLOW, SLOW, FAST)
WARM_UP_MS = 10_000.0
RUN_MS = 40_000.0
WORK_MS = 200.0
# Coefficient of variation of the work of a request.
WORK_VARIATION = 0.5
# (priority, share of requests, deadline in ms)
PRIORITY_MIX = (('urgent', 0.5, 4_000), ('normal', 0.2, 8_000))
PRIORITY_MIX += (('may-wait', 0.3, 20_000),)
# Simulations that run in parallel.
JOBS = 8


@frozen
class Scenario:
    """Targets, load and events of one simulation.

    ``slots`` is one number for all targets, or one for each.  ``load`` is a
    share of the total capacity.  ``mix`` has (priority, share, deadline in
    ms); ``events`` are (time in ms, kind, argument) and change targets or
    the load.
    """

    name: str
    slots: int | tuple = 3
    speeds: tuple = SPEEDS
    domains: tuple = ('a', 'b', 'c')
    load: float = 0.8
    mix: tuple = PRIORITY_MIX
    events: tuple = Factory(tuple)


def scenarios():
    """Return all scenarios, at the sizes of the example deployments."""
    found = []
    for user, slots, domains in (
        ('montevideo', 3, ('a', 'b', 'c')),
        ('kathmandu', 2, ('a', 'b', 'c', 'd')),
    ):
        for load in (0.5, 0.7, 0.8, 0.95, 1.2):
            name = f'{user} {round(load * 100)} %'
            found.append(Scenario(name, slots, domains=domains, load=load))
    middle_ms = WARM_UP_MS + 5_000
    later_ms = middle_ms + 12_000
    found += [
        Scenario('slots of 1 to 5', slots=(1, 5, 2, 3, 4, 1, 2)),
        Scenario(
            'one slows 10 times',
            load=0.6,
            events=(
                (middle_ms, 'speed', (0, 0.4)),
                (later_ms, 'speed', (0, 4.0)),
            ),
        ),
        Scenario(
            'half start cold',
            load=0.7,
            events=tuple((0.0, 'cold', (n, 18_000)) for n in (0, 2, 4)),
        ),
        Scenario(
            'one flaps',
            load=0.6,
            events=tuple(
                (WARM_UP_MS + 2_000 * n, 'down', (3, n % 2 == 0))
                for n in range(13)
            ),
        ),
        Scenario('drain at 80 %', events=((middle_ms, 'leaving', (1, True)),)),
        Scenario(
            'a domain is lost',
            load=0.5,
            events=tuple((middle_ms, 'down', (n, True)) for n in (2, 5)),
        ),
        Scenario(
            'burst of 5 times',
            load=0.4,
            events=(
                (middle_ms, 'load', 2.0),
                (middle_ms + 2_000, 'load', 0.4),
            ),
        ),
        Scenario(
            'downloads against urgent',
            load=1.1,
            mix=(('urgent', 0.3, 4_000), ('may-wait', 0.7, 20_000)),
        ),
        Scenario(
            'retry storm',
            load=0.8,
            events=tuple(
                (middle_ms, 'shed', (n, 0.5)) for n in range(len(SPEEDS))
            )
            + tuple((later_ms, 'shed', (n, 0.0)) for n in range(len(SPEEDS))),
        ),
    ]
    return found


def get_slots(scenario, index):
    """Return the slots of the target at an index."""
    if isinstance(scenario.slots, int):
        return scenario.slots
    return scenario.slots[index]


class Run:
    """A simulation of one scenario with one policy and one seed.

    ``unaffected`` are the indexes of targets that no event changes.
    """

    def __init__(self, scenario, policy_class, seed):
        self.scenario = scenario
        self.random = random.Random(seed)
        self.timeline = Timeline()
        faults = random.Random(seed + 1)
        self.targets = [
            FakeTarget(
                name=f't{index}',
                domain=scenario.domains[index % len(scenario.domains)],
                slots=get_slots(scenario, index),
                speed=speed,
                timeline=self.timeline,
                draw_random=faults.random,
            )
            for index, speed in enumerate(scenario.speeds)
        ]
        self.capacity = sum(one.slots * one.speed for one in self.targets)
        self.load = scenario.load
        self.counters = Counter()
        self.ended = []
        self.number = 0
        self.policy = policy_class(
            self.timeline, self.targets, self.counters, self._record_end
        )
        self.unaffected = set(range(len(self.targets)))
        self.work_before_ms = {}
        self.offered_ms = 0.0

    def run(self):
        """Run the simulation; return its figures by name."""
        for time_ms, kind, argument in self.scenario.events:
            self.timeline.schedule(
                time_ms,
                lambda k=kind, a=argument: self._apply_event(k, a),
            )
        self._schedule_arrival()
        self.timeline.schedule(WARM_UP_MS, self._start_measurement)
        self.timeline.run(RUN_MS)
        work = {
            one.name: one.work_done_ms - self.work_before_ms[one.name]
            for one in self.targets
        }
        self.timeline.run(RUN_MS + 30_000)
        return self._compute_figures(work)

    def _start_measurement(self):
        self.work_before_ms = {
            one.name: one.work_done_ms for one in self.targets
        }
        self.counters.clear()

    def _apply_event(self, kind, argument):
        match kind:
            case 'speed':
                index, speed = argument
                self.targets[index].speed = speed
                self.unaffected.discard(index)
            case 'cold':
                index, length_ms = argument
                target = self.targets[index]
                speed = target.speed
                target.speed = speed / 4
                self.unaffected.discard(index)

                def warm():
                    target.speed = speed

                self.timeline.schedule(length_ms, warm)
            case 'down':
                index, target_down = argument
                self.targets[index].down = target_down
                self.unaffected.discard(index)
            case 'leaving':
                index, leaving = argument
                self.targets[index].leaving = leaving
                self.unaffected.discard(index)
                self.policy.update_targets()
            case 'load':
                self.load = argument
            case 'shed':
                index, share = argument
                self.targets[index].shed_share = share

    def _schedule_arrival(self):
        if self.timeline.now_ms >= RUN_MS:
            return
        per_ms = self.load * self.capacity / WORK_MS
        self.timeline.schedule(
            self.timeline.now_ms + self.random.expovariate(per_ms),
            self._submit_request,
        )

    def _submit_request(self):
        shares = [share for _name, share, _deadline in self.scenario.mix]
        chosen = self.random.choices(self.scenario.mix, shares)[0]
        priority, _share, deadline_ms = chosen
        self.number += 1
        request = Request(
            number=self.number,
            priority=priority,
            work_ms=self.random.gammavariate(
                1 / WORK_VARIATION**2, WORK_MS * WORK_VARIATION**2
            ),
            arrived_ms=self.timeline.now_ms,
            deadline_ms=deadline_ms,
        )
        if self.timeline.now_ms >= WARM_UP_MS:
            self.offered_ms += request.work_ms
        self.policy.submit(request)
        self._schedule_arrival()

    def _record_end(self, request, verdict, reason):
        request.ended_ms = self.timeline.now_ms
        took_ms = request.ended_ms - request.arrived_ms
        if verdict == 'ran' and took_ms > request.deadline_ms:
            verdict, reason = 'late', 'deadline_passed'
        request.verdict = verdict
        request.reason = reason
        if request.arrived_ms >= WARM_UP_MS:
            self.ended.append(request)

    def _compute_figures(self, work):
        shares = [
            work[one.name] / (one.slots * one.speed)
            for index, one in enumerate(self.targets)
            if index in self.unaffected
        ]
        ran = [one for one in self.ended if one.verdict == 'ran']
        done_ms = sum(one.work_ms for one in ran)
        capacity_ms = self.capacity * (RUN_MS - WARM_UP_MS)
        achievable_ms = min(self.offered_ms, capacity_ms)
        waiting = [one for one in self.ended if one.priority == 'may-wait']
        refused = Counter(
            one.reason for one in self.ended if one.verdict != 'ran'
        )
        sends = max(1, self.counters['sends'])
        slowed = self._compute_slowed_shares()
        figures = {
            **slowed,
            'imbalance': max(shares) / (sum(shares) / len(shares)),
            'broken': sum(
                one.verdict in ('late', 'may_have_run') for one in self.ended
            ),
            'goodput_share': done_ms / achievable_ms,
            'retries': self.counters['retries'] / sends,
            'past_slots': self.counters['past_slots'] / sends,
            'may_wait_share': sum(one.verdict == 'ran' for one in waiting)
            / max(1, len(waiting)),
            'refused': dict(refused),
        }
        for priority, _share, _deadline in self.scenario.mix:
            latencies_ms = sorted(
                one.ended_ms - one.arrived_ms
                for one in ran
                if one.priority == priority
            )
            figures[f'p50_{priority}_ms'] = _quantile(latencies_ms, 0.5)
            figures[f'p99_{priority}_ms'] = _quantile(latencies_ms, 0.99)
        return figures

    def _compute_slowed_shares(self):
        """Return the work of a slowed target relative to its fair share.

        It is measured from 5 s after the target slowed until it recovered,
        and in the last 5 s of the run.
        """
        times = [e for e in self.scenario.events if e[1] == 'speed']
        if not times:
            return {}
        (slowed_ms, _kind, (index, speed)), (back_ms, *_rest) = times
        fast = self.scenario.speeds[index]
        others = sum(self.scenario.speeds) - fast
        return {
            'slowed_share': self._compute_share(
                index, slowed_ms + 5_000, back_ms
            )
            / (speed / (others + speed)),
            'recovered_share': self._compute_share(
                index, RUN_MS - 5_000, RUN_MS
            )
            / (fast / (others + fast)),
        }

    def _compute_share(self, index, since_ms, until_ms):
        started = [
            sum(
                work_ms
                for time_ms, work_ms in one.starts
                if since_ms <= time_ms < until_ms
            )
            for one in self.targets
        ]
        return started[index] / sum(started)


def _quantile(ordered, share):
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_one(job):
    """Run a job, which is (scenario, policy class, seed)."""
    scenario, policy_class, seed = job
    return Run(scenario, policy_class, seed).run()


def summarise(results):
    """Return medians over the seeds, and sums of refusals by reason."""
    summary = {}
    for key in results[0]:
        values = [one[key] for one in results]
        if key == 'refused':
            total = Counter()
            for one in values:
                total.update(one)
            summary[key] = dict(total)
        else:
            summary[key] = round(median(values), 4)
    return summary


def print_table(rows):
    """Print the main figures as a table."""
    titles = ('scenario', 'policy', 'imbalance', 'goodput', 'broken')
    titles += ('p99 urgent', 'p99 may-wait', 'retries', 'past slots')
    titles += ('may-wait',)
    print('  '.join(f'{title:>12}' for title in titles))
    for row in rows:
        cells = (
            row['scenario'][:26],
            row['policy'][:17],
            f'{row["imbalance"]:.3f}',
            f'{row["goodput_share"]:.3f}',
            f'{row["broken"]:.0f}',
            f'{row["p99_urgent_ms"]:.0f}',
            f'{row.get("p99_may-wait_ms", 0):.0f}',
            f'{row["retries"]:.3f}',
            f'{row["past_slots"]:.3f}',
            f'{row["may_wait_share"]:.3f}',
        )
        print('  '.join(f'{cell:>12}' for cell in cells))


def plot(rows, path):
    """Write a bar chart of the imbalance by scenario and policy."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    by_policy = defaultdict(dict)
    for row in rows:
        by_policy[row['policy']][row['scenario']] = row['imbalance']
    names = list(dict.fromkeys(row['scenario'] for row in rows))
    figure, axes = pyplot.subplots(figsize=(11, 6))
    width = 0.8 / len(by_policy)
    for index, (policy, values) in enumerate(by_policy.items()):
        places = [n + index * width for n in range(len(names))]
        heights = [values[name] for name in names]
        axes.bar(places, heights, width, label=policy)
    axes.set_xticks(range(len(names)), names, rotation=60, ha='right')
    axes.set_ylabel('imbalance: max over mean of work / capacity')
    axes.axhline(1.1, color='black', linewidth=0.8)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main(arguments) -> int:
    """Run the chosen scenarios and policies, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--only', default='', help='part of a name')
    parser.add_argument('--policy', default='', help='part of a name')
    parser.add_argument('--plot', metavar='FILE')
    options = parser.parse_args(arguments)
    chosen = [one for one in scenarios() if options.only in one.name]
    policies = [one for one in POLICIES if options.policy in one.name]
    jobs = [
        (scenario, policy, seed)
        for scenario in chosen
        for policy in policies
        for seed in range(1, options.seeds + 1)
    ]
    with ProcessPool(JOBS) as pool:
        results = pool.map(run_one, jobs, chunksize=1)
    grouped = defaultdict(list)
    for (scenario, policy, _seed), result in zip(jobs, results, strict=True):
        grouped[scenario.name, policy.name].append(result)
    rows = [
        {'scenario': name, 'policy': policy, **summarise(found)}
        for (name, policy), found in grouped.items()
    ]
    print_table(rows)
    for row in rows:
        print(json.dumps(row))
    if options.plot:
        plot(rows, options.plot)
    sys.stdout.flush()
    return 0
