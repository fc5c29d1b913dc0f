"""Stand-ins for the platform, by PROTOCOL-oxbowmill.md: the state service, the cloud and the workers."""

import asyncio
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

import web

LIMIT_BYTES = 64 * 1024  # of request bodies and of responses to workers and users, counted as JSON


def json_size(body):
    return len(json.dumps(body, separators=(",", ":")))


class Bucket:
    """Allows `rate` units a second, with bursts worth one second."""

    def __init__(self, rate):
        self.rate = self.level = rate
        self.at = time.monotonic()

    def take(self, count=1):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    def __init__(self, rps=200.0, write_rps=80.0, value_kb=8.0, txn_ops=48):
        self.keys, self.revision, self.events = {}, 0, []
        self.leases, self.next_lease = {}, 0  # id -> (duration, end)
        self.requests, self.changes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.changed = asyncio.Event()
        self.before = None  # coroutine (method, path, body) -> None, or an answer that replaces the service's
        self.malformed = []
        self.server = web.Server(self.serve)

    async def start(self):
        await self.server.start()
        self.expiry = asyncio.ensure_future(self._expire_for_ever())
        return self

    async def _expire_for_ever(self):
        while True:
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                self._end_lease(lease)
            await asyncio.sleep(0.02)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, entry in self.keys.items() if entry[2] == lease]
        if keys:
            self._apply([("delete", key, None, 0) for key in keys])

    def _apply(self, changes):
        self.revision += 1
        for kind, key, value, lease in changes:
            if kind == "put":
                self.keys[key] = (value, self.revision, lease)
            elif key in self.keys:
                del self.keys[key]
            else:
                continue
            self.events.append((self.revision, kind, key, value))
        self.events = self.events[-10000:]
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, method, path, body):
        if self.before is not None:
            answer = await self.before(method, path, body)
            if answer is not None:
                return None if answer == "no response" else answer
        if not self.requests.take():
            return 429, {}
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/watch":
            return await self._watch(query)
        if url.path == "/txn":
            return self._txn(body)
        if url.path.startswith("/holds"):
            return self._holds(method, url.path, body)
        if url.path == "/store":
            return self._list(query)
        entry = self.keys.get(url.path[len("/store/") :])
        if entry is None:
            return 404, {"ledger_rev": self.revision}
        return 200, {"k": url.path[len("/store/") :], "value": entry[0], "stamp": entry[1]}

    def _list(self, query):
        prefix, start = query.get("prefix", ""), query.get("from", "")
        keys = sorted(key for key in self.keys if key.startswith(prefix) and key > start)
        most = min(int(query.get("most", "1000")), 1000)
        items = [{"k": key, "value": self.keys[key][0], "stamp": self.keys[key][1]} for key in keys[:most]]
        return 200, {"items": items, "truncated": len(keys) > most, "ledger_rev": self.revision}

    def _txn(self, body):
        changes = []
        for change in body["apply"]:
            if "put" in change:
                changes.append(("put", change["put"], change["value"], change.get("grant") or 0))
            else:
                changes.append(("delete", change["delete"], None, 0))
        if not self.changes.take(len(changes)):
            return 429, {}
        too_large = (
            len(changes) > self.txn_ops
            or len(body["guards"]) > 4 * self.txn_ops
            or json_size(body) > LIMIT_BYTES
            or any(kind == "put" and json_size(value) > self.value_bytes for kind, _, value, _ in changes)
        )
        if too_large:
            self.malformed.append(json_size(body))
            return 400, {"error": "malformed"}
        if any(lease and lease not in self.leases for _, _, _, lease in changes):
            return 400, {"error": "no such lease"}
        failed = [g["k"] for g in body["guards"] if self.keys.get(g["k"], (None, 0))[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if changes:
            self._apply(changes)
        return 200, {"ledger_rev": self.revision}

    def _holds(self, method, path, body):
        now = time.monotonic()
        if path == "/holds":
            self.next_lease += 1
            self.leases[self.next_lease] = (body["life_ms"] / 1000, now + body["life_ms"] / 1000)
            return 200, {"grant": self.next_lease}
        lease = int(path.split("/")[2])
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        if lease not in self.leases:
            return 404, {}
        duration = self.leases[lease][0]
        self.leases[lease] = (duration, now + duration)
        return 200, {}

    async def _watch(self, query):
        prefix, start = query["prefix"], int(query["from"])
        end = time.monotonic() + min(60.0, int(query.get("hold_ms", "0")) / 1000)
        if self.events and self.events[0][0] > start + 1 and len(self.events) >= 10000:
            return 410, {}
        while True:
            news = []
            for revision, kind, key, value in self.events:
                if revision > start and key.startswith(prefix):
                    item = {kind: key, "stamp": revision}
                    if kind == "put":
                        item["value"] = value
                    news.append(item)
            left = end - time.monotonic()
            if news or left <= 0:
                return 200, {"ledger_rev": self.revision, "news": news}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """One machine's worker. `nodes` maps the controllers' names to the ports that the worker reports to."""

    def __init__(self, world, host, rig, yard, loaners):
        self.world, self.host, self.rig, self.yard, self.loaners = world, host, rig, yard, loaners
        self.tenure, self.serial, self.warrant = 1, 0, 0
        self.tasks = {}  # (shard, try) -> {"phase", "cause"}
        self.lease_from = time.monotonic()
        self.changed = asyncio.Event()
        self.jobs = []
        self.server = web.Server(self._serve)
        self.node = random.randrange(len(world.nodes)) if world.nodes else 0
        self.connection = None

    async def start(self):
        await self.server.start()
        self.address = "127.0.0.1:%d" % self.server.port
        self.loop = asyncio.ensure_future(self._report_for_ever())
        self.lease = asyncio.ensure_future(self._watch_lease())
        return self

    def stop(self):
        for job in [self.loop, self.lease] + self.jobs:
            job.cancel()
        self.server.close()

    def report(self):
        self.serial += 1
        shards = []
        for (shard, attempt), task in self.tasks.items():
            item = {"shard": shard, "try": attempt, "phase": task["phase"]}
            if task["phase"] == "ended":
                item["cause"] = task["cause"]
            shards.append(item)
        return {
            "host": self.host, "address": self.address, "rig": self.rig, "yard": self.yard,
            "loaners": self.loaners, "tenure": self.tenure, "serial": self.serial, "warrant": self.warrant,
            "recall_s": None, "shards": shards,
        }  # fmt: skip

    async def _report_for_ever(self):
        settings = self.world.workers
        names = list(self.world.nodes)
        while True:
            sent, tenure, warrant = time.monotonic(), self.tenure, self.warrant
            self.changed.clear()
            port = self.world.nodes[names[self.node]]
            if self.connection is None or self.connection.port != port:
                if self.connection is not None:
                    self.connection.close()
                self.connection = web.Connection(port)
            status, body, _ = await self.connection.request("POST", "/hello", self.report(), 4.0)
            if status == 200 and json_size(body) > LIMIT_BYTES:
                # The limit holds for responses to workers, so this one is no valid response.
                self.world.count("responses over the limit")
                status = 0
            if status == 200:
                if tenure == self.tenure and body.get("warrant", -1) >= self.warrant:
                    self._accept(body, sent)
                await self._pause(settings["report_s"] * random.uniform(0.75, 1.25), self.warrant != warrant)
                continue
            self.world.count("reports answered %d" % status)
            foreman = body.get("foreman") if status == 421 and body else None
            if foreman in self.world.nodes and foreman != names[self.node]:
                self.node = names.index(foreman)
                self.connection.close()
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.node = (self.node + 1) % len(names)
                await asyncio.sleep(1.0)

    async def _pause(self, interval, has_new_token):
        if has_new_token:
            self.changed.set()
        await asyncio.sleep(0.5)
        try:
            await asyncio.wait_for(self.changed.wait(), max(0.01, interval - 0.5))
        except asyncio.TimeoutError:
            pass

    def _accept(self, body, sent):
        self.warrant = max(self.warrant, body["warrant"])
        self.lease_from = max(self.lease_from, sent)
        self._execute(body.get("orders", []))

    async def _watch_lease(self):
        while True:
            if time.monotonic() - self.lease_from > self.world.workers["lease_s"]:
                if self.tasks:
                    self.world.log("lease over host=%s tasks=%d" % (self.host, len(self.tasks)))
                for key in list(self.tasks):
                    self._leave(key)
                self.tasks.clear()
                self.tenure += 1
                self.lease_from = time.monotonic()
                self.changed.set()
            await asyncio.sleep(0.05)

    def _leave(self, key):
        if self.tasks[key]["phase"] == "running":
            self.world.exited(self, key[0])

    def _execute(self, orders):
        for order in orders:
            key = (order["shard"], order["try"])
            if order["verb"] == "start" and key not in self.tasks:
                self.tasks[key] = {"phase": "fetching", "cause": None}
                self.jobs.append(asyncio.ensure_future(self._run(key, self.tasks[key])))
                self.changed.set()
            elif order["verb"] == "kill" and key in self.tasks and self.tasks[key]["phase"] != "ended":
                self._end(key, "stopped")
            elif order["verb"] == "clear" and key in self.tasks and self.tasks[key]["phase"] == "ended":
                del self.tasks[key]
                self.changed.set()

    async def _run(self, key, task):
        job = self.world.jobs[key[0].rsplit("/", 1)[0]]
        await asyncio.sleep(job["fetch_s"])
        if self.tasks.get(key) is not task or task["phase"] != "fetching":
            return
        task["phase"] = "running"
        self.world.started(self, key[0])
        self.changed.set()
        if job["run_s"] is None:
            return
        await asyncio.sleep(job["run_s"])
        if self.tasks.get(key) is task and task["phase"] == "running":
            self._end(key, "done")

    def _end(self, key, cause):
        self._leave(key)
        self.tasks[key].update(phase="ended", cause=cause)
        if cause == "done":
            self.world.completed(key[0])
        self.changed.set()

    async def _serve(self, method, path, body):
        if path == "/inspect":
            return 200, self.report()
        if "warrant" not in body or "tenure" not in body:
            return 400, {}
        if json_size(body) > LIMIT_BYTES:
            return 400, {}
        if body["warrant"] < self.warrant or body["tenure"] != self.tenure:
            return 409, self.report()
        if body["warrant"] > self.warrant:
            self.warrant = body["warrant"]
            self.changed.set()
        self._execute(body.get("orders", []))
        return 200, self.report()


class World:
    """The cloud with its machines, and the record of what ran."""

    def __init__(self, record, rigs, workers, lists_after_s=1.0):
        self.record, self.rigs, self.workers = record, rigs, workers
        self.nodes = {}  # controller -> port to which workers report
        self.jobs = {}  # job -> {"fetch_s", "run_s"}
        self.machines, self.hires, self.next_machine = {}, {}, 0
        self.lists_after_s = lists_after_s
        self.capacity = {}  # (rig, yard, loaners) -> machines left
        self.counts, self.on_machine, self.run_counts, self.done = {}, {}, {}, set()
        self.began = time.monotonic()
        self.server = web.Server(self._serve)

    async def start(self):
        await self.server.start()
        return self

    def log(self, text):
        self.record.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.record.flush()

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def started(self, worker, shard):
        self.on_machine.setdefault(shard, []).append(worker.host)
        self.run_counts[shard] = self.run_counts.get(shard, 0) + 1

    def exited(self, worker, shard):
        self.on_machine[shard].remove(worker.host)

    def completed(self, shard):
        self.done.add(shard)

    async def add_machine(self, rig, yard, loaners, boot_s=0.0):
        self.next_machine += 1
        host = "host-%06d" % self.next_machine
        machine = {"ref": host, "rig": rig, "yard": yard, "loaners": loaners, "phase": "starting",
                   "since": time.monotonic(), "address": "127.0.0.1:1", "worker": None}  # fmt: skip
        self.machines[host] = machine
        asyncio.ensure_future(self._boot(machine, boot_s))
        return host

    async def _boot(self, machine, boot_s):
        await asyncio.sleep(boot_s)
        if machine["ref"] not in self.machines:
            return
        worker = Worker(self, machine["ref"], machine["rig"], machine["yard"], machine["loaners"])
        await worker.start()
        machine.update(worker=worker, address=worker.address, phase="running")

    async def _serve(self, method, path, body):
        url = urlsplit(path)
        if url.path == "/catalog":
            return 200, {"rigs": self.rigs}
        if url.path == "/rentals" and method == "POST":
            return await self._rent(body)
        if url.path == "/rentals/delete":
            for host in body["hosts"]:
                machine = self.machines.pop(host, None)
                if machine and machine["worker"]:
                    for key in list(machine["worker"].tasks):
                        machine["worker"]._leave(key)
                    machine["worker"].stop()
            return 200, {}
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        now = time.monotonic()
        names = sorted(h for h, m in self.machines.items() if now - m["since"] >= self.lists_after_s)
        names = [h for h in names if h > query.get("from", "")]
        most = int(query.get("most", "500"))
        fields = ("ref", "address", "rig", "yard", "loaners", "phase")
        hosts = []
        for host in names[:most]:
            machine = self.machines[host]
            hosts.append({**{f: machine[f] for f in fields}, "age_s": now - machine["since"]})
        return 200, {"hosts": hosts, "truncated": len(names) > most}

    async def _rent(self, body):
        if body["hire"] in self.hires:
            return 200, {"hosts": self.hires[body["hire"]]}
        kind = (body["rig"], body["yard"], body["loaners"])
        count = min(body["count"], self.capacity.get(kind, 0))
        if count == 0:
            return 503, {"error": "no capacity"}
        self.capacity[kind] -= count
        boot_s = next(rig["ready_s"] for rig in self.rigs if rig["sku"] == body["rig"])
        hosts = [await self.add_machine(*kind, boot_s=boot_s * random.uniform(0.6, 1.5)) for _ in range(count)]
        self.hires[body["hire"]] = hosts
        return 200, {"hosts": hosts}

    def stop(self):
        for machine in self.machines.values():
            if machine["worker"]:
                machine["worker"].stop()
