"""Starts the controllers as separate processes, by the command of the deploy file, with the settings of a
small deployment (DEPLOY-oxbowmill.md)."""

import asyncio
import os
import re
import shlex
import socket
import subprocess
import time

import web

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
AREAS = ["sfax-hall", "sousse-room", "tunis-rack"]
ZONES = AREAS + ["gabes-annex"]
WORKERS = {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 40.0}
RIGS = [{"sku": "render-32g", "vcpus": 32.0, "accelerators": 4.0, "memory_gb": 192.0, "cache_gb": 80.0,
         "fetch_gb_per_s": 0.6, "rate": 10.74, "low_price": 2.64, "ready_s": 25.0, "yards": ZONES}]  # fmt: skip

TEMPLATE = """node_name = "{name}"
area = "{area}"
bind = "127.0.0.1:{port}"
peer_bind = "127.0.0.1:{peer_port}"
{seeds}
[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[settings]
initial_size = 3
zones = [{zones}]
skew_ms = 1000.0

[[settings.teams]]
name = "translators"
cpus = 0.0
cpus_max = 0.0
gpus = 64.0
gpus_max = 184.0

[[settings.teams]]
name = "typesetters"
cpus = 0.0
cpus_max = 0.0
gpus = 64.0
gpus_max = 184.0

[settings.workers]
{workers}

[settings.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 48

[settings.cloud]
rps = 6.0
list_lag_s = 4.0

[settings.limits]
core_share = 0.12
mem_mb = 56.0
fd_limit = 900
"""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Controllers:
    def __init__(self, folder, state_port, cloud_port, count=3, log_level="info"):
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            self.command = shlex.split(re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1))
        self.folder, self.log_level, self.processes, self.ends = folder, log_level, {}, []
        self.names = ["millstone-%d" % i for i in range(count)]
        ports = free_ports(2 * count)
        self.ports = dict(zip(self.names, ports[:count]))
        peer_ports = dict(zip(self.names, ports[count:]))
        for i, name in enumerate(self.names):
            seeds = "".join(
                '\n[[seeds]]\nnode_name = "%s"\narea = "%s"\naddress = "127.0.0.1:%d"\n'
                % (other, AREAS[j % 3], peer_ports[other])
                for j, other in enumerate(self.names)
                if other != name
            )
            text = TEMPLATE.format(
                name=name, area=AREAS[i % 3], port=self.ports[name], peer_port=peer_ports[name], seeds=seeds,
                cloud=cloud_port, state=state_port, zones=", ".join('"%s"' % zone for zone in ZONES),
                workers="\n".join("%s = %s" % item for item in WORKERS.items()),
            )  # fmt: skip
            with open(self.settings(name), "w") as file:
                file.write(text)

    def settings(self, name):
        return os.path.join(self.folder, name + ".toml")

    def start(self, name):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            self.command + [self.settings(name)], cwd=ROOT, stderr=log, stdout=log,
            env={**os.environ, "LOG_LEVEL": self.log_level},
        )  # fmt: skip
        log.close()

    def start_all(self):
        for name in self.names:
            self.start(name)

    def ended(self):
        """Controllers that have ended, with their exit status (below 0: the signal that ended them)."""
        return {n: p.poll() for n, p in self.processes.items() if p.poll() is not None}

    async def wait_until_up(self, timeout_s=30.0):
        end = time.monotonic() + timeout_s
        for name in self.names:
            while (await web.call(self.ports[name], "GET", "/up", timeout=1.0))[0] != 200:
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()


def job(ref, **fields):
    """A submission; by default an array of one small task."""
    return {"ref": ref, "jobclass": "figure-upscale", "owner": "translators", "shape": "batch",
            "rank": "best_effort", "shards": 1, "vcpus": 6.0, "accelerators": 1.0, "memory_gb": 36.0,
            "bundle": "img-01", "size_gb": 1.2, "rigs": ["render-32g"], "yard": None, "same_place": False,
            "scatter": False, "loaners": True, "runtime_s": 5.0, "save_every_s": 30.0, "flush_s": 2.0,
            "due_s": None, **fields}  # fmt: skip


async def submit(port, body):
    """Submits as a user does: repeats for up to 60 s. Returns the last status."""
    end = time.monotonic() + 60.0
    while True:
        status, _, _ = await web.call(port, "POST", "/submissions", body, 5.0)
        if status in (200, 201, 400, 422) or time.monotonic() > end:
            return status
        await asyncio.sleep(1.0)
