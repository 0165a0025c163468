"""Checks the promises against what callers and targets recorded.

Only records of stand-ins count; the daemons are not asked.
"""

from collections import Counter
from collections import defaultdict

from attrs import asdict
from attrs import define
from attrs import Factory

# A leaving target gets no new work this long after its leaving is known.
LEAVING_MS = 3_000


@define
class Report:
    """Counts of one run; every promise that was broken is a fault."""

    streams: int = 0
    streams_broken: int = 0
    stream_events: int = 0
    stream_rebinds: int = 0
    stream_late_ms: int = 0
    requests: int = 0
    requests_unanswered: int = 0
    requests_doubled: int = 0
    not_run_but_ran: int = 0
    ran_but_no_run: int = 0
    wrong_service: int = 0
    answers_incomplete: int = 0
    work_after_leaving: int = 0
    verdicts: dict = Factory(dict)
    reasons: dict = Factory(dict)
    may_have_run_share: float = 0.0
    imbalance: float = 0.0
    imbalance_by_pool: dict = Factory(dict)
    examples: list = Factory(list)

    FAULTS = (
        'streams_broken',
        'requests_unanswered',
        'requests_doubled',
        'not_run_but_ran',
        'ran_but_no_run',
        'wrong_service',
        'answers_incomplete',
        'work_after_leaving',
    )

    def faults(self) -> int:
        """Return how many promises were broken."""
        return sum(getattr(self, name) for name in self.FAULTS)

    def document(self) -> dict:
        """Return the report as a plain document."""
        document = asdict(self)
        document['faults'] = self.faults()
        return document


def check(caller_records, target_records, drains=()) -> Report:
    """Return the report on one run.

    ``drains`` holds (target, from_ms, until_ms) of operators' drains and
    of targets' own; wall times in milliseconds.
    """
    report = Report()
    runs = Counter(one['id'] for one in _only(target_records, 'run'))
    _check_requests(report, caller_records, runs)
    _check_streams(report, caller_records)
    for one in _only(target_records, 'wrong_service'):
        _fault(report, 'wrong_service', one)
    own_drains = _own_drains(target_records)
    _check_leaving(report, target_records, [*drains, *own_drains])
    return report


def _only(records, event):
    return [one for one in records if one['event'] == event]


def _fault(report, name, record):
    setattr(report, name, getattr(report, name) + 1)
    if len(report.examples) < 20:
        report.examples.append({'fault': name, **record})


def _check_requests(report, records, runs):
    answered = _only(records, 'request')
    report.requests = len(answered)
    verdicts = Counter(one['verdict'] for one in answered)
    report.verdicts = dict(verdicts)
    report.reasons = dict(
        Counter(one['reason'] for one in answered if one['reason'])
    )
    if answered:
        share = verdicts['may_have_run'] / len(answered)
        report.may_have_run_share = round(share, 5)
    known = {one['id'] for one in answered}
    for one in _only(records, 'asked'):
        if one['id'] not in known:
            _fault(report, 'requests_unanswered', one)
        if not one['repeatable'] and runs[one['id']] > 1:
            _fault(report, 'requests_doubled', one)
    for one in answered:
        _check_request(report, one, runs[one['id']])


def _check_request(report, one, times_run):
    if one['verdict'] == 'not_run' and times_run:
        _fault(report, 'not_run_but_ran', one)
    if one['verdict'] == 'ran':
        if not times_run:
            _fault(report, 'ran_but_no_run', one)
        if not one['whole']:
            _fault(report, 'answers_incomplete', one)


def _check_streams(report, records):
    for one in _only(records, 'stream'):
        report.streams += 1
        report.stream_events += one['events']
        report.stream_rebinds += one['rebinds']
        report.stream_late_ms = max(report.stream_late_ms, one['late_ms'])
        if one['problem']:
            _fault(report, 'streams_broken', one)


def _own_drains(records):
    drains = []
    started = {}
    for one in _only(records, 'draining'):
        if one['is_draining']:
            started.setdefault(one['target'], one['wall_ms'])
        elif one['target'] in started:
            since = started.pop(one['target'])
            drains.append((one['target'], since, one['wall_ms']))
    for target, since in started.items():
        drains.append((target, since, None))
    return drains


def _check_leaving(report, records, drains):
    by_target = defaultdict(list)
    for target, since_ms, until_ms in drains:
        by_target[target].append((since_ms, until_ms))
    new_work = ('run', 'attach', 'attach_while_draining')
    for one in records:
        if one['event'] not in new_work:
            continue
        for since_ms, until_ms in by_target.get(one['target'], ()):
            ended = until_ms is not None and one['wall_ms'] > until_ms
            if one['wall_ms'] > since_ms + LEAVING_MS and not ended:
                _fault(report, 'work_after_leaving', one)


def measure_imbalance(report, target_records, plans, excluded, since_ms):
    """Add the imbalance of each pool: max over mean of work / capacity.

    ``plans`` are the endpoints' plans; ``excluded`` targets were not
    there, or not allowed to work, all of the time.
    """
    done = Counter()
    for one in _only(target_records, 'run'):
        if one['wall_ms'] >= since_ms:
            done[one['target']] += one['work_ms']
    shares = defaultdict(list)
    for plan in plans:
        name = f'{plan["team"]}/{plan["name"]}'
        if name in excluded:
            continue
        capacity = plan['slots'] * plan['speed']
        pool = f'{plan["team"]}/{plan["pool"]}'
        shares[pool].append(done[name] / capacity)
    for pool, values in shares.items():
        mean = sum(values) / len(values)
        if mean > 0:
            report.imbalance_by_pool[pool] = round(max(values) / mean, 3)
    report.imbalance = max(report.imbalance_by_pool.values(), default=0.0)
