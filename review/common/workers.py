"""Stand-ins of the cloud and of the workers on its machines."""

import asyncio
import random
import time

import cbor
import http_io

ANSWER_WITHIN_S = 4.0
CHANGE_INTERVAL_S = 0.5


class Task:
    def __init__(self, name, attempt, description):
        self.name, self.attempt, self.description = name, attempt, description
        self.phase, self.cause, self.stored = "fetching", None, False

    def report(self):
        row = {"shard": self.name, "try": self.attempt, "phase": self.phase}
        if self.cause is not None:
            row["cause"] = self.cause
        if self.stored:
            row["stored"] = True
        return row


class Worker:
    """One machine. `world` has `nodes` (name: port), `jobs` (ref: submission), `timing` and `record(text)`."""

    def __init__(self, world, host, rig, yard, loaners):
        self.world, self.host, self.rig, self.yard, self.loaners = world, host, rig, yard, loaners
        self.tenure, self.serial, self.warrant = 1, 0, 0
        self.tasks = {}  # (name, attempt): Task
        self.timers = []
        self.change = asyncio.Event()
        self.answered_at = time.monotonic()
        self.node = random.choice(sorted(world.nodes))
        self.token_change_at = 0.0

    async def start(self):
        self.server = await http_io.serve(self.handle)
        self.port = http_io.port_of(self.server)
        self.loops = [asyncio.ensure_future(self.report_loop()), asyncio.ensure_future(self.lease_loop())]

    def stop(self):
        for loop in self.loops + self.timers:
            loop.cancel()
        self.server.close()
        for task in self.tasks.values():
            if task.phase != "ended":
                self.world.task_event("gone", self, task)
        self.tasks = {}

    def report(self):
        self.serial += 1
        return {
            "host": self.host,
            "address": "127.0.0.1:%d" % self.port,
            "rig": self.rig,
            "yard": self.yard,
            "loaners": self.loaners,
            "tenure": self.tenure,
            "serial": self.serial,
            "warrant": self.warrant,
            "recall_s": None,
            "shards": [task.report() for task in self.tasks.values()],
        }

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.1)
            if time.monotonic() - self.answered_at > self.world.timing["lease_s"]:
                for task in self.tasks.values():
                    if task.phase != "ended":
                        self.world.task_event("lease over", self, task)
                self.tasks = {}
                self.tenure += 1
                self.answered_at = time.monotonic()
                self.change.set()

    def next_node(self):
        names = sorted(self.world.nodes)
        self.node = names[(names.index(self.node) + 1) % len(names)]

    async def report_loop(self):
        while True:
            self.change.clear()
            sent_at, tenure = time.monotonic(), self.tenure
            status, body = await http_io.request(
                self.world.nodes[self.node], "POST", "/hello", cbor.encode(self.report()), ANSWER_WITHIN_S
            )
            pause = self.world.timing["report_s"] * random.uniform(0.75, 1.25)
            if status == 200 and self.tenure == tenure:
                self.accept(cbor.decode(body), sent_at)
            elif status == 421:
                foreman = (cbor.decode(body) if body else {}).get("foreman")
                if foreman in self.world.nodes and foreman != self.node:
                    self.node = foreman
                    await asyncio.sleep(random.uniform(0, 0.5))
                    continue
                self.next_node()
                pause = 1
            elif status != 200:
                self.next_node()
                pause = 1
            await asyncio.sleep(min(pause, CHANGE_INTERVAL_S))
            if pause > CHANGE_INTERVAL_S:
                try:
                    await asyncio.wait_for(self.change.wait(), pause - CHANGE_INTERVAL_S)
                except asyncio.TimeoutError:
                    pass

    def accept(self, answer, sent_at):
        if answer.get("warrant") is None or answer["warrant"] < self.warrant:
            return
        self.answered_at = max(self.answered_at, sent_at)
        self.see(answer["warrant"])
        self.execute(answer.get("orders", []))

    def see(self, warrant):
        if warrant > self.warrant:
            self.warrant = warrant
            now = time.monotonic()
            if now - self.token_change_at >= self.world.timing["lease_s"] / 2:
                self.token_change_at = now
                self.change.set()

    def execute(self, orders):
        for order in orders:
            key = (order["shard"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "start" and task is None:
                self.begin(*key)
            elif order["verb"] == "kill" and task is not None and task.phase != "ended":
                self.kill(task, order.get("wind_down_s", 0))
            elif order["verb"] == "clear" and task is not None and task.phase == "ended":
                del self.tasks[key]
                self.change.set()

    def begin(self, name, attempt):
        job = self.world.jobs.get(name.split("/")[0])
        task = Task(name, attempt, job)
        busy = any(other.name == name and other.phase != "ended" for other in self.tasks.values())
        self.tasks[(name, attempt)] = task
        if job is None or busy:
            task.phase, task.cause = "ended", "no_such" if job is None else "busy"
            self.change.set()
            return
        self.timers.append(asyncio.ensure_future(self.run(task)))

    async def run(self, task):
        await asyncio.sleep(self.world.timing["fetch_s"])
        if task.phase != "fetching" or self.tasks.get((task.name, task.attempt)) is not task:
            return
        task.phase = "running"
        self.world.task_event("start", self, task)
        self.change.set()
        if task.description["shape"] == "standing":
            return
        await asyncio.sleep(self.world.run_s(task.description))
        if task.phase == "running" and self.tasks.get((task.name, task.attempt)) is task:
            self.end(task, "done")

    def end(self, task, cause):
        started = task.phase in ("running", "saving")
        task.phase, task.cause = "ended", cause
        if started:
            self.world.task_event("end " + cause, self, task)
        self.change.set()

    def kill(self, task, wind_down_s):
        job = task.description
        saves = task.phase == "running" and job["save_every_s"] > 0 and wind_down_s >= job["flush_s"]
        if not saves:
            return self.end(task, "stopped")
        task.phase = "saving"
        self.change.set()

        async def save():
            await asyncio.sleep(job["flush_s"])
            if task.phase == "saving":
                task.stored = True
                self.end(task, "stopped")

        self.timers.append(asyncio.ensure_future(save()))

    async def handle(self, method, path, query, body):
        if path == "/inspect":
            return 200, cbor.encode(self.report())
        content = cbor.decode(body)
        if content.get("warrant") is None or content.get("tenure") is None:
            return 400, cbor.encode({})
        if content["warrant"] < self.warrant or content["tenure"] != self.tenure:
            return 409, cbor.encode(self.report())
        self.see(content["warrant"])
        self.execute(content.get("orders", []))
        return 200, cbor.encode(self.report())


class Cloud:
    """Rents machines at once up to `capacity`; a machine is up after `boot_s`."""

    def __init__(self, world, catalog, capacity, boot_s):
        self.world, self.catalog, self.capacity, self.boot_s = world, catalog, capacity, boot_s
        self.hires, self.machines, self.count, self.boots = {}, {}, 0, []

    async def start(self):
        self.server = await http_io.serve(self.handle)
        return http_io.port_of(self.server)

    async def boot(self, host):
        await asyncio.sleep(self.boot_s)
        if host in self.machines:
            await self.machines[host]["worker"].start()
            self.machines[host]["phase"] = "running"

    def rent(self, order):
        if order["hire"] in self.hires:
            return self.hires[order["hire"]]
        count = min(order["count"], self.capacity - len(self.machines))
        if count <= 0:
            return None
        hosts = []
        for _ in range(count):
            self.count += 1
            host = "host-%06d" % self.count
            hosts.append(host)
            worker = Worker(self.world, host, order["rig"], order["yard"], order["loaners"])
            self.machines[host] = {"worker": worker, "phase": "starting", "at": time.monotonic(), "order": order}
            self.boots.append(asyncio.ensure_future(self.boot(host)))
        self.hires[order["hire"]] = hosts
        self.world.record("cloud: rented %s for %s" % (", ".join(hosts), order["hire"]))
        return hosts

    async def handle(self, method, path, query, body):
        if path == "/catalog":
            return 200, cbor.encode({"rigs": self.catalog})
        if path == "/rentals" and method == "POST":
            hosts = self.rent(cbor.decode(body))
            return (503, cbor.encode({"error": "no capacity"})) if hosts is None else (200, cbor.encode({"hosts": hosts}))
        if path == "/rentals/delete":
            for host in cbor.decode(body)["hosts"]:
                machine = self.machines.pop(host, None)
                if machine is not None:
                    self.world.record("cloud: deleted " + host)
                    if machine["phase"] == "running":
                        machine["worker"].stop()
            return 200, cbor.encode({})
        rows = []
        for host, machine in sorted(self.machines.items()):
            if host <= query.get("from", ""):
                continue
            worker, order = machine["worker"], machine["order"]
            rows.append(
                {
                    "ref": host,
                    "address": "127.0.0.1:%d" % getattr(worker, "port", 9),
                    "rig": order["rig"],
                    "yard": order["yard"],
                    "loaners": order["loaners"],
                    "phase": machine["phase"],
                    "age_s": time.monotonic() - machine["at"],
                }
            )
        return 200, cbor.encode({"hosts": rows[:500], "truncated": len(rows) > 500})
