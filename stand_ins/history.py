"""Checks the guarantees against the records of callers and targets.

Logs and metrics of the daemons are not used.
"""

from collections import Counter
from collections import defaultdict

from attrs import asdict
from attrs import define
from attrs import Factory

# Bound on new work at a target after its drain began.
LEAVING_MS = 3_000


@define
class Report:
    """Counts of one run; the fields in FAULTS count violations."""

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
        """Return the number of violations."""
        return sum(getattr(self, name) for name in self.FAULTS)

    def document(self) -> dict:
        """Return the report as a dictionary."""
        document = asdict(self)
        document['faults'] = self.faults()
        return document


def check(caller_records, target_records, drains=()) -> Report:
    """Return the report on one run.

    ``drains`` holds (target, from_ms, until_ms) of drains by operators, in
    wall time; ``until_ms`` is None while a drain lasts.  Drains by targets
    themselves are found in their records.
    """
    report = Report()
    runs = Counter(
        record['id'] for record in _select_events(target_records, 'run')
    )
    _check_requests(report, caller_records, runs)
    _check_streams(report, caller_records)
    for record in _select_events(target_records, 'wrong_service'):
        _record_fault(report, 'wrong_service', record)
    own_drains = _find_own_drains(target_records)
    _check_leaving(report, target_records, [*drains, *own_drains])
    return report


def _select_events(records, event):
    return [record for record in records if record['event'] == event]


def _record_fault(report, name, record):
    setattr(report, name, getattr(report, name) + 1)
    if len(report.examples) < 20:
        report.examples.append({'fault': name, **record})


def _check_requests(report, records, runs):
    answered = _select_events(records, 'request')
    report.requests = len(answered)
    verdicts = Counter(record['verdict'] for record in answered)
    report.verdicts = dict(verdicts)
    report.reasons = dict(
        Counter(record['reason'] for record in answered if record['reason'])
    )
    if answered:
        share = verdicts['may_have_run'] / len(answered)
        report.may_have_run_share = round(share, 5)
    known = {record['id'] for record in answered}
    for record in _select_events(records, 'asked'):
        if record['id'] not in known:
            _record_fault(report, 'requests_unanswered', record)
        if not record['repeatable'] and runs[record['id']] > 1:
            _record_fault(report, 'requests_doubled', record)
    for record in answered:
        _check_request(report, record, runs[record['id']])


def _check_request(report, record, times_run):
    if record['verdict'] == 'not_run' and times_run:
        _record_fault(report, 'not_run_but_ran', record)
    if record['verdict'] == 'ran':
        if not times_run:
            _record_fault(report, 'ran_but_no_run', record)
        if not record['whole']:
            _record_fault(report, 'answers_incomplete', record)


def _check_streams(report, records):
    for record in _select_events(records, 'stream'):
        report.streams += 1
        report.stream_events += record['events']
        report.stream_rebinds += record['rebinds']
        report.stream_late_ms = max(report.stream_late_ms, record['late_ms'])
        if record['problem']:
            _record_fault(report, 'streams_broken', record)


def _find_own_drains(records):
    drains = []
    started = {}
    for record in _select_events(records, 'draining'):
        if record['is_draining']:
            started.setdefault(record['target'], record['wall_ms'])
        elif record['target'] in started:
            since = started.pop(record['target'])
            drains.append((record['target'], since, record['wall_ms']))
    for target, since in started.items():
        drains.append((target, since, None))
    return drains


def _check_leaving(report, records, drains):
    by_target = defaultdict(list)
    for target, since_ms, until_ms in drains:
        by_target[target].append((since_ms, until_ms))
    new_work = ('run', 'attach', 'attach_while_draining')
    for record in records:
        if record['event'] not in new_work:
            continue
        for since_ms, until_ms in by_target.get(record['target'], ()):
            ended = until_ms is not None and record['wall_ms'] > until_ms
            if record['wall_ms'] > since_ms + LEAVING_MS and not ended:
                _record_fault(report, 'work_after_leaving', record)


def measure_imbalance(report, target_records, plans, excluded, since_ms):
    """Add the imbalance of each pool: max over mean of work / capacity.

    ``plans`` are the plans of the endpoints.  Targets in ``excluded`` were
    not available all the time and are left out.
    """
    done = Counter()
    for record in _select_events(target_records, 'run'):
        if record['wall_ms'] >= since_ms:
            done[record['target']] += record['work_ms']
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
