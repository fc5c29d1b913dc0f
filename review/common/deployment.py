"""A small deployment on loopback: the controllers as separate processes, beside the stand-ins."""

import asyncio
import ctypes
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import traceback

import cbor
import http_io
from state_service import StateService
from workers import Cloud

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NAMES = ["millstone-0", "millstone-1", "millstone-2"]
AREAS = ["sfax-hall", "sousse-room", "tunis-rack"]
ZONES = ["sfax-hall", "sousse-room", "tunis-rack", "gabes-annex"]
RIG = {
    "sku": "render-32g",
    "vcpus": 32.0,
    "accelerators": 4.0,
    "memory_gb": 192.0,
    "cache_gb": 80.0,
    "fetch_gb_per_s": 0.6,
    "rate": 10.74,
    "low_price": 2.64,
    "ready_s": 2.0,
    "yards": ZONES,
}


RESTART_DELAY_S = 5.0  # BRIEF: "back about 5 s after an end"
LONGEST_RUN_S = 110
MEMORY_LIMIT_MB = 56.0


def _end_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # exit statuses; run.sh turns BROKEN into 1, and any other into 2


class CannotRun(Exception):
    """The case could not be carried out; this is no verdict on the rule."""


def free_ports(count):
    """Free ports below those that the system gives to outgoing connections, so that none takes them in a restart."""
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as limits:
        lowest = int(limits.read().split()[0])
    sockets = []
    while len(sockets) < count:
        each = socket.socket()
        try:
            each.bind(("127.0.0.1", random.randrange(11000, lowest) if lowest > 12000 else 0))
            sockets.append(each)
        except OSError:
            each.close()
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Deployment:
    """Settings like those of the site maktaba-sfax. Used as an asynchronous context manager."""

    def __init__(self, record_file, machines=6, report_s=1.0, lease_s=10.0, cancel_s=40.0):
        self.file = open(record_file, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.timing = {"report_s": report_s, "lease_s": lease_s, "fetch_s": 1.0, "cancel_s": cancel_s}
        self.machines = machines
        self.jobs, self.events, self.processes, self.run_times = {}, [], {}, {}
        self.nodes, self.last_ref, self.background = {}, 0, []
        self.teams = [("translators", 64, 184), ("typesetters", 64, 184)]

    def record(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()

    def run_s(self, description):
        return self.run_times.get(description["ref"], description["runtime_s"])

    def task_event(self, what, worker, task):
        self.events.append((time.monotonic(), what, worker.host, task.name, task.attempt))
        self.record("worker %s: %s %s attempt %d" % (worker.host, what, task.name, task.attempt))

    async def __aenter__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="oxbowmill-review-")
        self.state = StateService(value_kb=8, txn_ops=48, rps=200, write_rps=80)
        self.state_port = await self.state.start()
        self.cloud = Cloud(self, [RIG], self.machines, 2.0)
        self.cloud_port = await self.cloud.start()
        ports = free_ports(6)
        self.nodes = dict(zip(NAMES, ports[:3]))
        self.peers = dict(zip(NAMES, ports[3:]))
        self.state_ports = {name: self.state_port for name in NAMES}
        return self

    async def __aexit__(self, *_):
        for task in self.background:
            task.cancel()
        for name in list(self.processes):
            self.end(name)
        for machine in self.cloud.machines.values():
            if machine["phase"] == "running":
                machine["worker"].stop()
        self.state.ticker.cancel()
        self.folder.cleanup()
        self.file.close()

    def settings(self, index):
        name = NAMES[index]
        lines = ['node_name = "%s"' % name, 'area = "%s"' % AREAS[index]]
        lines += ['bind = "127.0.0.1:%d"' % self.nodes[name], 'peer_bind = "127.0.0.1:%d"' % self.peers[name]]
        for other, area in zip(NAMES, AREAS):
            if other != name:
                lines += ["[[seeds]]", 'node_name = "%s"' % other, 'area = "%s"' % area]
                lines += ['address = "127.0.0.1:%d"' % self.peers[other]]
        lines += ["[services]", 'cloud = "127.0.0.1:%d"' % self.cloud_port]
        lines += ['state = "127.0.0.1:%d"' % self.state_ports[name]]
        lines += ["[settings]", "initial_size = 3", "zones = [%s]" % ", ".join('"%s"' % z for z in ZONES)]
        lines += ["skew_ms = 1000.0"]
        for team, guaranteed, most in self.teams:
            lines += ["[[settings.teams]]", 'name = "%s"' % team, "cpus = 0.0", "cpus_max = 0.0"]
            lines += ["gpus = %.1f" % guaranteed, "gpus_max = %.1f" % most]
        lines += ["[settings.workers]", "report_s = %.1f" % self.timing["report_s"]]
        lines += ["lease_s = %.1f" % self.timing["lease_s"], "gang_wait_s = 30.0", "gang_peer_s = 8.0"]
        lines += ["cancel_s = %.1f" % self.timing["cancel_s"]]
        lines += ["[settings.state]", "rps = 200.0", "write_rps = 80.0", "value_kb = 8.0", "txn_ops = 48"]
        lines += ["[settings.cloud]", "rps = 6.0", "list_lag_s = 4.0"]
        lines += ["[settings.limits]", "core_share = 0.12", "mem_mb = %.1f" % MEMORY_LIMIT_MB, "fd_limit = 900"]
        return "\n".join(lines) + "\n"

    def start(self, name):
        index = NAMES.index(name)
        path = os.path.join(self.folder.name, name + ".toml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings(index))
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as deploy:
            command = re.search(r'^run = "(.*)"$', deploy.read(), re.MULTILINE).group(1).split() + [path]
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise CannotRun(command[0] + " is not built")
        log = open(os.path.join(self.folder.name, name + ".log"), "a", encoding="utf-8")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, stderr=log, stdout=log, stdin=subprocess.DEVNULL, env=environment,
            preexec_fn=_end_with_parent,
        )
        log.close()
        self.record("controller %s: started" % name)

    def log_of(self, name):
        with open(os.path.join(self.folder.name, name + ".log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    def exit_status(self, name):
        """None while the process runs; negative: the number of the signal that ended it."""
        return self.processes[name].poll()

    def watch_for_ends(self):
        """Restarts each controller that ends by itself; returns the list that its ends are added to."""
        ends = []

        async def restart(name):
            await asyncio.sleep(RESTART_DELAY_S)
            self.start(name)

        async def watch():
            while True:
                for name, process in list(self.processes.items()):
                    if process.poll() is None:
                        continue
                    del self.processes[name]
                    last = (self.log_of(name).strip().splitlines() or [""])[-1]
                    ends.append((name, process.returncode, last))
                    self.record("controller %s: ENDED BY ITSELF, status %d: %s" % (name, process.returncode, last))
                    self.background.append(asyncio.ensure_future(restart(name)))
                await asyncio.sleep(0.05)

        self.background.append(asyncio.ensure_future(watch()))
        return ends

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record("controller %s: sent %s" % (name, signal.Signals(number).name))

    def memory_mb(self, name):
        """Private memory that the process holds, without its program and libraries."""
        with open("/proc/%d/status" % self.processes[name].pid, encoding="ascii") as status:
            for line in status:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def owners(self):
        """The owner of each partition, by the state service."""
        prefix = "o/p/"
        return {
            key[len(prefix) :]: entry[0].get("node") for key, entry in self.state.keys.items() if key.startswith(prefix)
        }

    def end(self, name):
        process = self.processes.pop(name)
        if process.poll() is None:
            process.kill()
        process.wait()
        self.record("controller %s: ended by the test" % name)

    async def is_up(self, name):
        return (await http_io.request(self.nodes[name], "GET", "/up", timeout_s=1.0))[0] == 200

    async def start_all(self):
        for name in NAMES:
            self.start(name)
        await self.wait_for("all controllers to be up", 20, self.all_up)

    async def all_up(self):
        return all([await self.is_up(name) for name in NAMES])

    async def wait_for(self, what, within_s, condition):
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.2)
        raise CannotRun("waited %d s for %s" % (within_s, what))

    def submission(self, **fields):
        self.last_ref += 1
        job = {
            "ref": "run-%06d" % self.last_ref,
            "jobclass": "figure-upscale",
            "owner": "translators",
            "shape": "batch",
            "rank": "best_effort",
            "shards": 2,
            "vcpus": 6.0,
            "accelerators": 1.0,
            "memory_gb": 36.0,
            "bundle": "img-07",
            "size_gb": 0.5,
            "rigs": None,
            "yard": None,
            "same_place": False,
            "scatter": False,
            "loaners": True,
            "runtime_s": 5.0,
            "save_every_s": 0.0,
            "flush_s": 0.0,
            "due_s": None,
        }
        job.update(fields)
        return job

    async def call(self, name, method, path, content=None, timeout_s=5.0):
        body = b"" if content is None else cbor.encode(content)
        status, answer = await http_io.request(self.nodes[name], method, path, body, timeout_s)
        try:
            decoded = cbor.decode(answer) if answer else None
        except ValueError:
            decoded = None
        self.record("user -> %s: %s %s (%d bytes): %d %s" % (name, method, path, len(body), status, decoded))
        return status, decoded

    async def submit(self, name, job, timeout_s=5.0):
        self.jobs[job["ref"]] = job
        return await self.call(name, "POST", "/submissions", job, timeout_s)

    async def poll(self, name, ref):
        return await self.call(name, "GET", "/submissions/" + ref, None, 2.0)

    async def withdraw(self, name, ref):
        return await self.call(name, "POST", "/submissions/" + ref + "/withdraw")

    async def until_phase(self, name, ref, phase, within_s):
        async def reached():
            status, answer = await self.poll(name, ref)
            return status == 200 and answer["phase"] == phase

        await self.wait_for("%s to be %s" % (ref, phase), within_s, reached)


def main(record, case, machines=6):
    """Runs `case(deployment, trouble)`, which returns what broke the rule, or an empty text; exits accordingly.

    `record` is the file for what was sent, answered and run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        async with Deployment(record, machines) as deployment:
            deployment.record("trouble: " + ("yes" if trouble else "no"))
            try:
                broken = await asyncio.wait_for(case(deployment, trouble), LONGEST_RUN_S)
            except asyncio.TimeoutError:
                raise CannotRun("not over within %d s" % LONGEST_RUN_S) from None
            deployment.record("verdict: " + ("BROKEN: " + broken if broken else "held"))
            return broken

    try:
        broken = asyncio.run(run())
    except Exception as error:  # a fault of the case itself is no verdict on the rule
        with open(record, "a", encoding="utf-8") as out:
            out.write("could not run: %r\n" % error)
            traceback.print_exc(file=out)
        print("could not run: %r" % error)
        raise SystemExit(COULD_NOT_RUN) from None
    print("broken: " + broken if broken else "held")
    raise SystemExit(BROKEN if broken else HELD)
