"""Runs a whole deployment as processes on loopback addresses."""

import json
import os
from pathlib import Path
import signal
import subprocess
import sys
import time

from attrs import asdict
import tomli_w

from stand_ins import addresses as nets
from stand_ins import history
from stand_ins.calls import call
from stand_ins.calls import list_stored
from stand_ins.calls import wait_for
from stand_ins.records import read_records

CALLER_CLIENTS = 6
BALANCER_HOST = 10
TARGET_HOST = 100
FABRIC_PORT = 1
PEER_PORT = 2
CONTROL_PORT = 3
# The module that runs liftmountd and liftmount.
PROGRAMS = 'liftmount.platform.programs'


class Deployment:
    """One run: processes, addresses and records.

    With ``linked`` traffic between balancers, and to targets, passes the
    fault-injecting proxy of ``stand_ins.links``.
    """

    def __init__(self, plan, directory: Path, seed=1, linked=False, **limits):
        self.plan = plan
        self.directory = directory
        self.seed = seed
        self.linked = linked
        self.limits = limits
        self.nets = nets.make_run_addresses()
        self.processes = {}
        self.balancers = {}
        self.target_plans = []
        self.drains = []
        self.callers = []
        self.settings = {}
        outside = nets.OUTSIDE_GROUP
        self.platform = self.nets.address(outside, 1)
        self.fabric_control = self.nets.address(outside, 2)
        self.fabric_return = self.nets.address(outside, 3)
        self.links_control = self.nets.address(outside, 4)
        self._assign_addresses()

    # Addresses

    def _assign_addresses(self):
        number = 0
        for index, (domain, count) in enumerate(self.plan.domains.items()):
            for _ in range(count):
                number += 1
                group = nets.FIRST_DOMAIN + index
                ip = self.nets.ip(group, BALANCER_HOST + number)
                self.balancers[f'lm-{number}'] = (domain, ip)
        self._assign_target_addresses()

    def _assign_target_addresses(self):
        domains = list(self.plan.domains)
        number = 0
        for pool in self.plan.pools:
            for position, speed in enumerate(pool.speeds):
                number += 1
                index = position % len(domains)
                host = TARGET_HOST + number
                for port, team in enumerate(self.plan.teams):
                    group = nets.FIRST_DOMAIN + index
                    self.target_plans.append(
                        {
                            'process': f'{pool.name}-{position + 1}',
                            'domain': domains[index],
                            'name': f'{pool.name}-{position + 1}',
                            'team': team,
                            'pool': pool.name,
                            'address': self.nets.address(group, host, port),
                            'slots': pool.slots,
                            'speed': speed,
                        }
                    )

    def _port(self, port):
        return self.nets.first_port + port

    def service_address(self, team: str, service: str) -> str:
        """Return the address of a team's service."""
        names = [one.name for one in self.plan.services]
        team_index = self.plan.teams.index(team)
        host = 1 + team_index * len(names) + names.index(service)
        return self.nets.address(nets.SERVICE_GROUP, host)

    def caller_ip(self, team: str) -> str:
        """Return the IP address of a team's callers."""
        group = nets.CALLER_GROUP + self.plan.teams.index(team)
        return self.nets.ip(group, 1)

    def _proxied(self, address):
        """Return the address at which others reach ``address``."""
        if not self.linked:
            return address
        ip, _separator, port = address.rpartition(':')
        first, net, group, host = ip.split('.')
        return f'{first}.{net}.{int(group) + nets.LINK_GROUP}.{host}:{port}'

    # Processes

    def spawn(self, name: str, arguments, wait_ready=True):
        """Start a process and, by default, wait until it is ready."""
        log = (self.directory / f'{name}.log').open('a')
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        self.processes[name] = process
        if wait_ready:
            self.wait_ready(name)
        return process

    def wait_ready(self, *names):
        """Wait for the readiness lines of processes.

        Raise RuntimeError if a process prints something else.
        """
        for name in names:
            line = self.processes[name].stdout.readline()
            if not line.startswith('{"ready"'):
                raise RuntimeError(f'{name} did not start: see its log')

    def start(self, balancers=None):
        """Start all but the callers and apply the configuration."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.start_outside()
        names = list(balancers or self.balancers)
        for name in names:
            self.start_balancer(name, wait_ready=False)
        self.wait_ready(*names)
        self.publish_balancers()
        self.apply_configuration()

    def start_outside(self):
        """Start store, fabric, links and targets."""
        listen = ['--listen', self.platform]
        self.spawn('platform', ['-m', 'stand_ins.store', *listen])
        if self.linked:
            self._start_links()
        options = ['--control', self.fabric_control]
        options += ['--way-back', self.fabric_return, '--seed', str(self.seed)]
        self.spawn('fabric', ['-m', 'stand_ins.fabric', *options])
        names = list(dict.fromkeys(p['process'] for p in self.target_plans))
        for name in names:
            self.start_target(name, wait_ready=False)
        self.wait_ready(*names)
        addresses = [
            self.service_address(team, service.name)
            for team in self.plan.teams
            for service in self.plan.services
        ]
        call(self.fabric_control, '/set', {'addresses': addresses})

    def _start_links(self):
        groups = {}
        links = []
        for domain, ip in self.balancers.values():
            groups[ip] = domain
            peer = f'{ip}:{self._port(PEER_PORT)}'
            control = f'{ip}:{self._port(CONTROL_PORT)}'
            links.append(self._link(peer, domain, 'udp'))
            links.append(self._link(control, domain, 'tcp'))
        for plan in self.target_plans:
            links.append(self._link(plan['address'], plan['domain'], 'tcp'))
        path = self.directory / 'links.json'
        path.write_text(json.dumps({'groups': groups, 'links': links}))
        options = ['--control', self.links_control, '--plan', str(path)]
        options += ['--seed', str(self.seed)]
        self.spawn('links', ['-m', 'stand_ins.links', *options])

    def _link(self, address, group, transport):
        return {
            'listen': self._proxied(address),
            'forward': address,
            'group': group,
            'transport': transport,
        }

    def start_target(self, name: str, wait_ready=True):
        """Start one target instance with its endpoints."""
        keys = ('name', 'team', 'pool', 'address', 'slots', 'speed')
        plans = [
            {key: plan[key] for key in keys}
            for plan in self.target_plans
            if plan['process'] == name
        ]
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(plans))
        options = ['--plan', str(path)]
        options += ['--records', str(self.directory / f'{name}.jsonl')]
        module = 'stand_ins.target'
        self.spawn(name, ['-m', module, *options], wait_ready)

    def start_balancer(self, name: str, wait_ready=True):
        """Start one balancer and add it to the instance list."""
        path = self.directory / f'{name}.toml'
        path.write_text(tomli_w.dumps(self.make_settings(name)))
        options = ['--settings', str(path)]
        self.spawn(name, ['-m', PROGRAMS, 'daemon', *options], wait_ready)
        self.list_instance(name, 'live')

    def list_instance(self, name: str, state: str | None):
        """Set the state of an instance in the list; None removes it."""
        path = f'/instances/{name}'
        if state is None:
            call(self.platform, path, method='DELETE')
            return
        domain = self.balancers[name][0]
        entry = {'failure_domain': domain, 'role': 'balancer', 'state': state}
        call(self.platform, path, entry, 'PUT')

    def make_settings(self, name: str) -> dict:
        """Return the settings of a balancer."""
        domain, ip = self.balancers[name]
        peer = f'{ip}:{self._port(PEER_PORT)}'
        control = f'{ip}:{self._port(CONTROL_PORT)}'
        seeds = []
        for other in list(self.balancers)[:3]:
            if other != name:
                other_ip = self.balancers[other][1]
                seeds.append(
                    {
                        'peer': self._proxied(
                            f'{other_ip}:{self._port(PEER_PORT)}'
                        ),
                        'control': self._proxied(
                            f'{other_ip}:{self._port(CONTROL_PORT)}'
                        ),
                    }
                )
        return {
            'instance': {'name': name, 'failure_domain': domain},
            'listen': {
                'fabric': f'{ip}:{self._port(FABRIC_PORT)}',
                'peer': peer,
                'control': control,
            },
            'advertise': {
                'peer': self._proxied(peer),
                'control': self._proxied(control),
            },
            'fabric': {'return_address': self.fabric_return},
            'platform': {'addresses': [self.platform]},
            'seeds': seeds,
            **self.settings,
        }

    def publish_balancers(self, names=None):
        """Send the addresses of balancers, by default the running ones."""
        found = [
            f'{self.balancers[name][1]}:{self._port(FABRIC_PORT)}'
            for name in (names or self.running_balancers())
        ]
        call(self.fabric_control, '/set', {'balancers': found})

    def running_balancers(self):
        """Return the names of balancers whose process is running."""
        return [
            name
            for name in self.balancers
            if name in self.processes and self.processes[name].poll() is None
        ]

    # Configuration by the command-line tool

    def tool(self, *arguments, check=True):
        """Run the command-line tool.

        With ``check`` raise RuntimeError if it fails.
        """
        command = [sys.executable, '-m', PROGRAMS, 'tool']
        command += ['--platform', self.platform, *arguments]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=60
        )
        if check and done.returncode:
            text = f'{arguments}: {done.stdout}{done.stderr}'
            raise RuntimeError(text)
        return done

    def control_address(self, balancer: str) -> str:
        """Return the control address of a balancer."""
        ip = self.balancers[balancer][1]
        return f'{ip}:{self._port(CONTROL_PORT)}'

    def explain(self, balancer: str, address: str) -> dict:
        """Return where a balancer would place a new flow."""
        control = self.control_address(balancer)
        done = self.tool('flow', 'explain', address, '--control', control)
        return json.loads(done.stdout)

    def inspect(self, balancer: str) -> dict:
        """Return the state of a balancer."""
        control = self.control_address(balancer)
        done = self.tool('flow', 'inspect', '--control', control)
        return json.loads(done.stdout)

    def apply_configuration(self):
        """Write the template and all teams; wait until they are in force."""
        self.apply('template', self.template_document())
        for team in self.plan.teams[:-1]:
            self.apply('team', self.team_document(team))
        last = self.team_document(self.plan.teams[-1])
        self.apply('team', last, '--wait-ms', '20000')
        for team in self.plan.teams:
            wait_for(
                lambda name=team: self._is_granted(name),
                f'addresses of {team}',
            )

    def _is_granted(self, team):
        held = {
            one.name
            for one in list_stored(self.platform, 'claim')
            if one.value['state'] == 'held'
        }
        return all(
            self.service_address(team, service.name) in held
            for service in self.plan.services
        )

    def apply(self, kind: str, document: dict, *options, check=True):
        """Apply a document with the tool."""
        path = self.directory / f'{kind}-{document["name"]}.toml'
        path.write_text(tomli_w.dumps(document))
        return self.tool(kind, 'apply', str(path), *options, check=check)

    def template_document(self) -> dict:
        """Return the template of the plan."""
        keys = (
            'name',
            'mode',
            'pool',
            'priority',
            'repeatable',
            'deadline_ms',
        )
        services = [
            {key: value for key, value in asdict(one).items() if key in keys}
            for one in self.plan.services
        ]
        return {'name': self.plan.template, 'services': services}

    def team_document(self, team: str) -> dict:
        """Return the configuration of one team."""
        return {
            'name': team,
            'template': self.plan.template,
            'caller_prefixes': [f'{self.caller_ip(team)}/32'],
            'addresses': {
                one.name: self.service_address(team, one.name)
                for one in self.plan.services
            },
            'targets': [
                {
                    'name': plan['name'],
                    'pool': plan['pool'],
                    'address': self._proxied(plan['address']),
                    'failure_domain': plan['domain'],
                }
                for plan in self.target_plans
                if plan['team'] == team
            ],
        }

    # Callers

    def start_callers(self, team: str, load_factor=1.0, seed=None):
        """Start the callers of a team; return the name of the process."""
        seed = self.seed if seed is None else seed
        name = f'callers-{team}-{seed}'
        plan = {
            'team': team,
            'local_ip': self.caller_ip(team),
            'seed': seed,
            'clients': CALLER_CLIENTS,
            'streams': self._stream_loads(team),
            'requests': self._request_loads(team, load_factor),
        }
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(plan))
        options = ['--plan', str(path)]
        options += ['--records', str(self.directory / f'{name}.jsonl')]
        self.spawn(name, ['-m', 'stand_ins.callers', *options])
        self.callers.append(name)
        return name

    def _stream_loads(self, team):
        return [
            {
                'service': one.name,
                'address': self.service_address(team, one.name),
                'count': one.streams,
                'interval_ms': one.interval_ms,
            }
            for one in self.plan.services
            if one.mode == 'stream'
        ]

    def _request_loads(self, team, load_factor):
        loads = []
        for one in self.plan.services:
            if one.mode != 'request':
                continue
            capacity = sum(
                plan['slots'] * plan['speed']
                for plan in self.target_plans
                if plan['team'] == team and plan['pool'] == one.pool
            )
            per_second = capacity / one.work_ms * 1000 * one.load
            loads.append(
                {
                    'service': one.name,
                    'address': self.service_address(team, one.name),
                    'repeatable': one.repeatable,
                    'deadline_ms': one.deadline_ms,
                    'per_second': per_second * load_factor,
                    'work_ms': one.work_ms,
                    'spread': one.spread,
                    'answer_bytes': one.answer_bytes,
                }
            )
        return loads

    # Faults

    def signal(self, name: str, number: int):
        """Send a signal to a process."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str):
        """Kill a process; the instance list follows with a delay."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        if name in self.balancers:
            self.list_instance(name, None)

    def stop_planned(self, name: str, limit_s=40) -> int:
        """Stop a balancer gracefully; return its exit status."""
        process = self.processes.pop(name)
        self.list_instance(name, 'leaving')
        process.send_signal(signal.SIGTERM)
        status = process.wait(limit_s)
        self.list_instance(name, None)
        return status

    def cut(self, *pairs):
        """Partition pairs of failure domains from each other."""
        call(self.links_control, '/set', {'cuts': [list(p) for p in pairs]})

    def platform_faults(self, **faults):
        """Change the faults of the store."""
        call(self.platform, '/faults', faults, 'POST')

    def fabric_faults(self, **faults):
        """Change the faults of the fabric."""
        call(self.fabric_control, '/set', {'faults': faults})

    def set_target(self, process: str, team: str, **values):
        """Set ``drain``, ``speed``, ``lies`` or ``lag_ms`` of an endpoint."""
        address = next(
            plan['address']
            for plan in self.target_plans
            if plan['process'] == process and plan['team'] == team
        )
        query = '&'.join(f'{key}={value}' for key, value in values.items())
        call(address, f'/set?{query}')

    def drain_target(self, target: str):
        """Drain a target with the command-line tool."""
        self.tool('target', 'drain', target)
        self.drains.append([target, time.time_ns() // 1_000_000, None])

    # End of the run

    def stop_callers(self, limit_s=40):
        """Stop the callers after their requests have ended."""
        running = [(n, self.processes.pop(n)) for n in self.callers]
        for _name, process in running:
            process.send_signal(signal.SIGTERM)
        for _name, process in running:
            process.wait(limit_s)

    def answered(self) -> int:
        """Return how many requests have got their final answer."""
        count = 0
        for name in self.callers:
            path = self.directory / f'{name}.jsonl'
            if path.exists():
                count += path.read_text().count('"event": "request"')
        return count

    def wait_answers(self, more: int, limit_s: float = 60):
        """Wait until callers have got ``more`` further answers."""
        goal = self.answered() + more
        wait_for(
            lambda: self.answered() >= goal,
            f'{more} more answers',
            limit_s,
        )

    def records(self):
        """Return the records of callers and the records of targets."""
        caller_records = []
        for name in self.callers:
            path = self.directory / f'{name}.jsonl'
            caller_records += read_records(path)
        target_records = []
        for name in dict.fromkeys(p['process'] for p in self.target_plans):
            path = self.directory / f'{name}.jsonl'
            target_records += read_records(path)
        return caller_records, target_records

    def check(self):
        """Return the report of ``history.check`` on the run so far."""
        return history.check(*self.records(), self.drains)

    def stop(self):
        """Kill all processes of the run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
            process.stdout.close()
        self.processes.clear()
