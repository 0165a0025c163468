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
SPREADING = 'tests/features/decisions/spreading.feature'
BELIEFS = 'tests/features/decisions/beliefs.feature'
DOMAIN_START = 'tests/features/decisions/domain_start.feature'
TRANSFERS = 'tests/features/platform/transfers.feature'
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
        'a target is killed and comes back',
    ),
    Mutation(
        'streams survive: lost events are not pushed again',
        'decisions/streams.py',
        'sequence=flow.acknowledged,',
        'sequence=flow.pushed,',
        FAULTS,
        "callers' packets are lost",
    ),
    Mutation(
        'streams survive: nobody adopts or refuses them',
        'decisions/routing.py',
        'return _without_home(state, event, service, token)',
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
        'comes back as another',
    ),
    Mutation(
        'other service: callers are not checked',
        'decisions/routing.py',
        'if not _is_allowed(event.caller.ip, service.networks):',
        'if False:',
        ISOLATION,
        'Callers of one firm',
    ),
    Mutation(
        'leaving target: it still counts as present',
        'decisions/pool.py',
        'if not one.leaving]',
        ']',
        STOP,
        "the operator's word",
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
        'never goes back',
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
        'if unmoved_ms >= event.value.duration_ms:',
        'if True:',
        GROUP,
        'Only one of many',
    ),
    Mutation(
        'soak: doubted targets are handed over as listed ones',
        'decisions/directory.py',
        '            if name not in self.doubted\n        )',
        '        )',
        SOAK,
        'a target leaves as a balancer starts',
    ),
    Mutation(
        'soak: leaving targets get new flows',
        'decisions/pool.py',
        'if not one.leaving]',
        ']',
        SOAK,
        'targets are replaced',
    ),
    Mutation(
        'soak: the number of the meant target is left out',
        '../platform/heads.py',
        "action.target.number.to_bytes(NUMBER_BYTES, 'big')",
        'bytes(NUMBER_BYTES)',
        SOAK,
        'addresses are reused',
    ),
    Mutation(
        'soak: the tag is not written',
        '../platform/heads.py',
        'TAG.pack(action.tag)',
        'TAG.pack(0)',
        SOAK,
        'balancers are killed and paused',
    ),
    Mutation(
        'soak: no list after the history is gone',
        'decisions/following.py',
        'return [*_answered(state), List(0, may_lag=False)]',
        'return [Watch(LONGEST_RETRY_MS, state.revision)]',
        SOAK,
        'the store forgets what nobody',
    ),
    Mutation(
        'soak: a planned stop does not wait',
        'decisions/leaving.py',
        'if self.refusals < REFUSALS_NEEDED:\n            return False',
        'return True',
        SOAK,
        'of each domain is stopped',
    ),
    Mutation(
        'readers: nobody asks for a beat',
        'decisions/spreading.py',
        'return [AskForBeat(peers)] if peers else []',
        'return []',
        SPREADING,
        'Who hears no beat asks peers',
    ),
    Mutation(
        'readers: all levels of the tree begin at once',
        'decisions/spreading.py',
        'levels = count_between(state.order, state.name)',
        'levels = 0',
        SPREADING,
        'those near the root read first',
    ),
    Mutation(
        'readers: a transfer makes knowledge look fresh',
        'decisions/spreading.py',
        'event.now_ms - news.age_ms',
        'event.now_ms',
        TRANSFERS,
        'as old as the beginning of its answer',
    ),
    Mutation(
        'readers: the first watch waits',
        'decisions/following.py',
        'return Watch(SETTLE_MS, revision, AT_ONCE_MS)',
        'return Watch(SETTLE_MS, revision, state.times.watch_ms)',
        BELIEFS,
        'The store is followed without gaps',
    ),
    Mutation(
        'readers: a watch begins anew after a pause',
        'decisions/following.py',
        'left_ms = state.times.watch_ms - pause_ms - lasted_ms',
        'left_ms = state.times.watch_ms',
        BELIEFS,
        'Each watch ends in time',
    ),
    Mutation(
        'readers: all begin to read after a start',
        'decisions/spreading.py',
        "        return False, 'started of late'\n    if state.is_root",
        '        pass\n    if state.is_root',
        DOMAIN_START,
        'Members that start do not read the store',
    ),
    Mutation(
        'transfers: the time of a whole answer is limited',
        'network/http.py',
        'self._limit.reschedule(now_s + seconds(STALL_MS))',
        'pass',
        TRANSFERS,
        'A call ends for want of progress',
    ),
    Mutation(
        'transfers: a first list ends when its member rests',
        'decisions/following.py',
        '    if _lists_first(state):\n        # Those',
        '    if False:\n        # Those',
        TRANSFERS,
        'Who reads the store when another one begins to',
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
