"""Switches mechanisms off, one at a time, and sees their tests fail.

Each mutation changes one place of a copy of the source and runs the
scenarios that should catch it.  Not part of the test run: a full pass
takes minutes.  ``python -m tests.mutations [PART OF A NAME]``.
"""

import os
from pathlib import Path
import re
import shutil
import subprocess
import sys
import tempfile

from attrs import frozen

ROOT = Path(__file__).parents[1]
SOURCE = 'src/liftmount/_internal'
FAULTS = 'tests/features/promises/faults.feature'
ISOLATION = 'tests/features/promises/isolation.feature'
STOP = 'tests/features/promises/planned_stop.feature'
GROUP = 'tests/features/decisions/group.feature'
SOAK = 'tests/features/platform/soak.feature'
DISSEMINATION = 'tests/features/decisions/dissemination.feature'
STORE_CACHE = 'tests/features/decisions/store_cache.feature'
DOMAIN_START = 'tests/features/decisions/domain_start.feature'
TRANSFERS = 'tests/features/platform/transfers.feature'
EVACUATIONS = 'tests/features/decisions/evacuations.feature'
FRESHNESS = 'tests/features/decisions/freshness.feature'
COLD = 'tests/features/decisions/slow_start.feature'
OWN_LINK = 'tests/features/decisions/link_monitor.feature'
STALLS = 'tests/features/decisions/stalls.feature'
FORWARDING = 'tests/features/decisions/forwarding.feature'
LIMIT_S = 300
NOTHING_RUN = re.compile(r'\b0 scenarios passed, 0 failed, \d+ skipped')


@frozen
class Mutation:
    """One mechanism switched off, and the scenario that must notice."""

    name: str
    file: str
    old: str
    new: str
    feature: str
    scenario: str


MUTATIONS = (
    Mutation(
        'at most once: the window forgets',
        'decisions/window.py',
        '        if self.bitmap & bit:\n            return Claim.SEEN\n',
        '',
        FAULTS,
        "callers' packets are lost",
    ),
    Mutation(
        'NOT_RUN is true: what was written counts as unwritten',
        'decisions/requests.py',
        'elif not event.written or request.service.repeatable:',
        'elif True:',
        FAULTS,
        'a target is killed and restarted',
    ),
    Mutation(
        'streams survive: lost events are not pushed again',
        'decisions/streams.py',
        'sequence=flow.acknowledged_sequence,',
        'sequence=flow.pushed_sequence,',
        FAULTS,
        "callers' packets are lost",
    ),
    Mutation(
        'streams survive: nobody adopts or refuses them',
        'decisions/routing.py',
        'return _route_without_home(state, event, service, token)',
        'return RefusePacket(Reason.HOME_GONE)',
        FAULTS,
        'the home of firm-a is killed -- ',
    ),
    Mutation(
        'whole answers: pieces in order of arrival',
        'decisions/reassembly.py',
        "b''.join(partial.parts[i] for i in range(pieces))",
        "b''.join(partial.parts.values())",
        FAULTS,
        "callers' packets are lost",
    ),
    Mutation(
        'one grant: a second one replaces the token',
        'network/client.py',
        'if flow.is_stream:',
        'if True:',
        'tests/features/promises/caller.feature',
        'exactly one token',
    ),
    Mutation(
        'other service: the gap is not waited for',
        'decisions/claims.py',
        'if not in_force(version, statuses, domains):',
        'if False:',
        ISOLATION,
        'not granted while a domain',
    ),
    Mutation(
        'other service: the target is not asked who it is',
        'services/targets.py',
        'if (found_team, found) == (team, name):',
        'if True:',
        ISOLATION,
        'is reused by another',
    ),
    Mutation(
        'other service: callers are not checked',
        'decisions/routing.py',
        'if not _is_allowed(event.caller.ip, service.networks):',
        'if False:',
        ISOLATION,
        'Callers of one team',
    ),
    Mutation(
        'leaving target: it still counts as present',
        'decisions/pool.py',
        'if not target.leaving]',
        ']',
        STOP,
        'an operator',
    ),
    Mutation(
        'planned stop: it does not wait',
        'services/data.py',
        'if unfinished:\n            return False',
        'return True',
        STOP,
        'Long requests in progress',
    ),
    Mutation(
        'configuration: older versions are taken',
        'decisions/rollout.py',
        'if item.version <= known.version:',
        'if False:',
        GROUP,
        'never reverts to an older version',
    ),
    Mutation(
        'configuration: peers are not asked for what differs',
        'decisions/membership.py',
        'actions.append(DigestDiffers(known))',
        'pass',
        'tests/features/promises/configuration.feature',
        'domain a cannot reach the platform',
    ),
    Mutation(
        'lease: taken before it has lapsed',
        'decisions/lease.py',
        'if unchanged_ms >= event.value.duration_ms:',
        'if True:',
        GROUP,
        'Only one of several',
    ),
    Mutation(
        'soak: doubted targets are handed over as listed ones',
        'decisions/directory.py',
        '            if name not in self.missing\n        )',
        '        )',
        SOAK,
        'a target leaves as a balancer starts',
    ),
    Mutation(
        'soak: leaving targets get new flows',
        'decisions/pool.py',
        'if not target.leaving]',
        ']',
        SOAK,
        'targets are replaced',
    ),
    Mutation(
        'soak: the number of the meant target is left out',
        '../platform/packet_headers.py',
        "action.target.number.to_bytes(NUMBER_BYTES, 'big')",
        'bytes(NUMBER_BYTES)',
        SOAK,
        'addresses are reused',
    ),
    Mutation(
        'soak: the tag is not written',
        '../platform/packet_headers.py',
        'TAG.pack(action.tag)',
        'TAG.pack(0)',
        SOAK,
        'balancers are killed and paused',
    ),
    Mutation(
        'soak: no list after the history is gone',
        'decisions/list_watch.py',
        'return [*_report_regained(state), List(0, may_lag=False)]',
        'return [Watch(MAX_RETRY_MS, state.revision)]',
        SOAK,
        'the store drops history',
    ),
    Mutation(
        'soak: a planned stop does not wait',
        'decisions/shutdown.py',
        'if self.refusals < MIN_REFUSALS:\n            return False',
        'return True',
        SOAK,
        'of each domain is stopped',
    ),
    Mutation(
        'readers: nobody asks for a beat',
        'decisions/dissemination.py',
        'return [RequestHeartbeat(peers)] if peers else []',
        'return []',
        DISSEMINATION,
        'A member without heartbeats asks peers',
    ),
    Mutation(
        'readers: all levels of the tree begin at once',
        'decisions/dissemination.py',
        'levels = count_between(state.order, state.name)',
        'levels = 0',
        DISSEMINATION,
        'members near the root read first',
    ),
    Mutation(
        'readers: a transfer makes knowledge look fresh',
        'decisions/dissemination.py',
        'event.now_ms - update.age_ms',
        'event.now_ms',
        TRANSFERS,
        'counts from the beginning of its answer',
    ),
    Mutation(
        'readers: the first watch waits',
        'decisions/list_watch.py',
        'return Watch(RECHECK_MS, revision, IMMEDIATE_WAIT_MS)',
        'return Watch(RECHECK_MS, revision, state.times.watch_ms)',
        STORE_CACHE,
        'The store is listed and watched without gaps',
    ),
    Mutation(
        'readers: a watch begins anew after a pause',
        'decisions/list_watch.py',
        'left_ms = state.times.watch_ms - pause_ms - lasted_ms',
        'left_ms = state.times.watch_ms',
        STORE_CACHE,
        'Each watch ends in time',
    ),
    Mutation(
        'readers: all begin to read after a start',
        'decisions/dissemination.py',
        "        return False, 'started of late'\n    if state.is_root",
        '        pass\n    if state.is_root',
        DOMAIN_START,
        'Only the first of several starting members becomes store reader',
    ),
    Mutation(
        'transfers: the time of a whole answer is limited',
        'network/http.py',
        'self._limit.reschedule(now_s + seconds(PROGRESS_TIMEOUT_MS))',
        'pass',
        TRANSFERS,
        'A call times out for lack of progress',
    ),
    Mutation(
        'transfers: a first list ends when its member rests',
        'decisions/list_watch.py',
        '    if _is_first_list_pending(state):\n        # Those',
        '    if False:\n        # Those',
        TRANSFERS,
        'first list when the feed is paused or a peer provides',
    ),
    Mutation(
        'evacuations: targets of an evacuated domain get new flows',
        'decisions/pool.py',
        'return not (target.leaving or is_closed)',
        'return not target.leaving',
        EVACUATIONS,
        'New flows go to domains that are not evacuated',
    ),
    Mutation(
        'evacuations: a copy goes to the target that got the first one',
        'decisions/flow_table.py',
        'return state.pool(entry.service).may_open(load, now_ms)',
        'return True',
        EVACUATIONS,
        'An opening that was sent to the only target',
    ),
    Mutation(
        'evacuations: openings do not wait until they are known',
        'decisions/forwarding.py',
        '        if state.evacuated is None:\n',
        '        if False:\n',
        EVACUATIONS,
        'Openings wait until the evacuations are known',
    ),
    Mutation(
        'evacuations: what is older takes back what is newer',
        'decisions/evacuations.py',
        'if before is not None and update.revision <= before.revision:',
        'if False:',
        EVACUATIONS,
        'The newest evacuations received are in force',
    ),
    Mutation(
        'evacuations: an evacuated domain counts slots to hand over to',
        'decisions/flow_table.py',
        'if not pool.may_take(target):',
        'if target.leaving:',
        EVACUATIONS,
        'An evacuated domain has no slots',
    ),
    Mutation(
        'confirming: numbers that are missing are not minded',
        'decisions/freshness.py',
        'return all(state.changes.get(one, feed) != feed for one in since)',
        'return True',
        FRESHNESS,
        'Random stores are never confirmed wrongly',
    ),
    Mutation(
        'confirming: what is not confirmed is not asked',
        'decisions/freshness.py',
        '            actions.append(ReadFeed(feed))\n',
        '',
        FRESHNESS,
        'A kind that is not confirmed in time is queried',
    ),
    Mutation(
        'confirming: who relies on others waits no longer',
        'decisions/list_watch.py',
        'wait_ms = DEPENDENT_WATCH_MS',
        'pass',
        STORE_CACHE,
        'The store is listed and watched without gaps',
    ),
    Mutation(
        'cold: all of a quiet time is sent at once',
        'decisions/slow_start.py',
        '    if late_ms > 0:',
        '    if False:',
        COLD,
        'Unused rate of an idle time is not used at once',
    ),
    Mutation(
        'cold: all send the first flow at once',
        'decisions/slow_start.py',
        'phase_ms = gap_ms * mixed / CRC_VALUES',
        'phase_ms = 0',
        COLD,
        'No target in slow start exceeds its rate limit',
    ),
    Mutation(
        'cold: a copy of an opening costs nothing',
        'decisions/pool.py',
        '            self.cold.spend(target.name, now_ms)\n',
        '            pass\n',
        COLD,
        'Copies of an opening count against the rate',
    ),
    Mutation(
        'cold: targets that are taken back are warm',
        'decisions/pool.py',
        'if target.failure_domain in returned:',
        'if False:',
        COLD,
        'Targets of a domain whose evacuation ends',
    ),
    Mutation(
        'regions: any target may take an opening',
        'decisions/pool.py',
        'if target.failure_domain in domains',
        'if True',
        COLD,
        'Openings go to the regions that a route allows',
    ),
    Mutation(
        'silence over a busy link counts as proof',
        'services/packet_path.py',
        'return not self.link.is_busy(sent.sent_ms)',
        'return True',
        TRANSFERS,
        'own link is busy',
    ),
    Mutation(
        'the own link is never busy',
        'decisions/link_monitor.py',
        'return now_ms < self.busy_until_ms',
        'return False',
        OWN_LINK,
        'An upload burst resets no flow of a live target',
    ),
    Mutation(
        'a suspected target gets new flows like any other',
        'decisions/forwarding.py',
        'is_avoided = event.is_dead or event.is_suspected',
        'is_avoided = event.is_dead',
        OWN_LINK,
        'An upload burst resets no flow of a live target',
    ),
    Mutation(
        'a refusal by a draining target proves its end',
        'decisions/flow_table.py',
        'return entry.draining\n',
        'return False\n',
        STORE_CACHE,
        'A refusal does not prove a target dead while it may be draining',
    ),
    Mutation(
        'requests at a target that restarted are left to wait',
        'decisions/forwarding.py',
        'actions.append(Forward(flow.request, entry, flow.tag))',
        'pass',
        FORWARDING,
        'A target that restarted under its name has no earlier flows',
    ),
    Mutation(
        'what is told late takes a start back',
        'decisions/directory.py',
        'if is_late and _is_other_start(state, entry):',
        'if False:',
        STORE_CACHE,
        'A known start of a target is not reverted by a late update',
    ),
    Mutation(
        'a newcomer trusts lists that lag',
        'decisions/dissemination.py',
        'if has_all and is_new and _is_confirmation_overdue(state, now_ms):',
        'if False:',
        DISSEMINATION,
        'Which member reads the store after a start',
    ),
    Mutation(
        'one balancer convinces all that a target hangs',
        'decisions/stall_reports.py',
        'if len(fresh) < QUORUM:',
        'if len(fresh) < 1:',
        STALLS,
        'Reports of a single balancer eject no target',
    ),
    Mutation(
        'all targets may be held out',
        'decisions/pool.py',
        'if avoided + 1 <= MAX_STALL_EJECTED_SHARE * len(self.targets):',
        'if True:',
        STALLS,
        'No more than a third of the targets of a service is ejected',
    ),
)


def is_noticed(mutation) -> bool:
    """Return whether the scenario fails without the mechanism."""
    with tempfile.TemporaryDirectory(prefix='liftmount-mutant-') as place:
        copy = Path(place) / 'tree'
        ignored = shutil.ignore_patterns('.venv', '.git', '__pycache__')
        shutil.copytree(ROOT, copy, ignore=ignored)
        path = copy / SOURCE / mutation.file
        text = path.read_text()
        if mutation.old not in text:
            raise LookupError(f'{mutation.name}: the place has changed')
        path.write_text(text.replace(mutation.old, mutation.new))
        return run_scenario(copy, mutation)


def run_scenario(copy, mutation):
    """Run the scenario in the copy; return whether it failed."""
    command = [sys.executable, '-m', 'behave', '--format', 'plain']
    command += ['--name', mutation.scenario, mutation.feature]
    environment = {**os.environ, 'PYTHONPATH': str(copy / 'src')}
    try:
        done = subprocess.run(
            command,
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )
    except subprocess.TimeoutExpired:
        return True
    if NOTHING_RUN.search(done.stdout):
        raise LookupError(f'{mutation.name}: no scenario was run')
    return done.returncode != 0


def main() -> int:
    """Run the mutations; return 1 if one went unnoticed."""
    part = sys.argv[1] if len(sys.argv) > 1 else ''
    unnoticed = 0
    for mutation in MUTATIONS:
        if part not in mutation.name:
            continue
        noticed = is_noticed(mutation)
        unnoticed += not noticed
        word = 'noticed' if noticed else 'NOT NOTICED'
        print(f'{word}: {mutation.name}', flush=True)
    print(f'{unnoticed} unnoticed')
    return 1 if unnoticed else 0


if __name__ == '__main__':
    sys.exit(main())
