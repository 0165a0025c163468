"""Measure the cost of packets, new flows, choices, and flows in memory."""

import argparse
import json
import subprocess
import sys

from benches.setting import ADDRESS
from benches.setting import CALLER
from benches.setting import make_home
from benches.setting import make_routing
from benches.setting import make_service
from benches.setting import make_token
from benches.setting import open_flow
from benches.timing import resident_bytes
from benches.timing import time_calls
from liftmount._internal.decisions import routing
from liftmount._internal.decisions.pool import Pool
from liftmount._internal.decisions.pool import TargetInfo
from liftmount._internal.decisions.token import FlowToken
from liftmount._internal.decisions.token import seal_token
from liftmount._internal.models.packets import decode_packet
from liftmount._internal.models.packets import encode_packet
from liftmount._internal.models.packets import Keepalive
from liftmount._internal.models.packets import Open

CALLS = 4_000
FLOWS = 200_000
MEBIBYTE = 1_048_576


def measure_token_packet():
    """Time decoding and routing of a packet with a token."""
    state = make_routing()
    packet = Keepalive(b'12345678', make_token(state), sequence=7)
    data = encode_packet(packet)

    def call(_index):
        decoded = decode_packet(data)
        event = routing.PacketArrived(CALLER, ADDRESS, decoded)
        routing.decide(state, event)

    return time_calls(call, CALLS)


def measure_new_flow():
    """Time decoding, routing, placing and sealing of a new flow."""
    state = make_routing(members=1)
    service = make_service()
    home = make_home(service=service)
    data = encode_packet(Open(b'12345678'))

    def call(index):
        decoded = decode_packet(data)
        event = routing.PacketArrived(CALLER, ADDRESS, decoded)
        routing.decide(state, event)
        grant = open_flow(home, service, index)[0]
        token = FlowToken(
            team=service.team,
            service=service.name,
            generation=service.generation,
            home=state.name,
            home_incarnation=state.incarnation,
            nonce=grant.nonce,
            flow_id=grant.flow_id,
            target=grant.target,
            target_incarnation=grant.target_incarnation,
            failure_domain='a',
            issued_wall_ms=1,
        )
        seal_token(state.ring, token)

    return time_calls(call, CALLS)


def measure_choice(candidates):
    """Time the choice of a target among a number of candidates."""
    pool = Pool('firm-a/guidance', 'a')
    infos = [TargetInfo(f't{n}', 'a') for n in range(candidates)]
    pool.update(infos, 0)

    def call(index):
        now_ms = index // 10
        target = pool.choose(now_ms)
        if target is not None:
            pool.started(target.name, now_ms)
            pool.finished(target.name, now_ms)

    return time_calls(call, 500)


def measure_flows_in_memory():
    """Return the bytes of FLOWS flows, measured in a new process."""
    command = [sys.executable, '-m', 'benches.decisions', '--flows-only']
    completed = subprocess.run(
        command, capture_output=True, text=True, check=True
    )
    return int(completed.stdout)


def hold_flows(count=FLOWS):
    """Open flows in this process; return the growth of its memory."""
    service = make_service()
    home = make_home(service=service)
    open_flow(home, service, 0)
    before = resident_bytes()
    for index in range(1, count + 1):
        open_flow(home, service, index)
    return resident_bytes() - before


def main(arguments) -> int:
    """Run all measurements and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--flows-only', action='store_true')
    options = parser.parse_args(arguments)
    if options.flows_only:
        print(hold_flows())
        return 0
    rows = {
        'packet with a token': measure_token_packet(),
        'new flow': measure_new_flow(),
    }
    for candidates in (7, 100, 1_000):
        name = f'choice among {candidates}'
        rows[name] = measure_choice(candidates)
    document = {}
    for name, timing in rows.items():
        minimum_us, maximum_us = timing.min_us, timing.max_us
        text = f'{timing.median_us:8.2f} us  ({minimum_us} to {maximum_us})'
        print(f'{name:24} {text}')
        document[name] = timing.median_us
    size = measure_flows_in_memory()
    document['flows_mib'] = round(size / MEBIBYTE, 1)
    document['flow_bytes'] = round(size / FLOWS)
    flows_text = f'{document["flows_mib"]:8.1f} MiB'
    print(f'{f"{FLOWS} flows":24} {flows_text}')
    print(json.dumps(document))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
