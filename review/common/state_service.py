"""Stand-in of the state service: keys with revisions, leases, watches and guarded transactions."""

import asyncio
import bisect
import json
import time

import cbor
import http_io

LOG_SIZE = 10000


class Rate:
    """Allows `per_s` a second, in bursts of one second's worth."""

    def __init__(self, per_s):
        self.per_s, self.left, self.at = per_s, per_s, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.left = min(self.per_s, self.left + (now - self.at) * self.per_s)
        self.at = now
        if self.left < count:
            return False
        self.left -= count
        return True


class StateService:
    def __init__(self, value_kb, txn_ops, rps, write_rps):
        self.requests, self.changes = Rate(rps), Rate(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.keys = {}  # key: [value, stamp, grant]
        self.revision = 1
        self.log = []  # (revision, key, event)
        self.holds = {}  # grant: [life_s, end]
        self.next_grant = 0
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await http_io.serve(self.handle)
        self.ticker = asyncio.ensure_future(self.tick())
        return http_io.port_of(self.server)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    def put(self, key, value, grant):
        self.keys[key] = [value, self.revision, grant]
        self.log.append((self.revision, key, {"put": key, "value": value, "stamp": self.revision}))

    def delete(self, key):
        if self.keys.pop(key, None) is not None:
            self.log.append((self.revision, key, {"delete": key, "stamp": self.revision}))

    def publish(self):
        del self.log[:-LOG_SIZE]
        self.changed.set()
        self.changed = asyncio.Event()

    def end_hold(self, grant):
        self.holds.pop(grant, None)
        attached = [key for key, entry in self.keys.items() if entry[2] == grant]
        if attached:
            self.revision += 1
            for key in attached:
                self.delete(key)
            self.publish()

    def expire(self):
        now = time.monotonic()
        for grant in [grant for grant, hold in self.holds.items() if hold[1] < now]:
            self.end_hold(grant)

    def txn(self, body):
        operations, guards = body["apply"], body.get("guards", [])
        if not self.changes.take(len(operations)):
            return 429, {}
        if len(operations) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, {"error": "too large"}
        for operation in operations:
            if "put" in operation and len(json.dumps(operation["value"], separators=(",", ":"))) > self.value_bytes:
                return 400, {"error": "too large"}
            if operation.get("grant") and operation["grant"] not in self.holds:
                return 400, {"error": "no such lease"}
        failed = [guard["k"] for guard in guards if self.keys.get(guard["k"], [0, 0, 0])[1] != guard["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if operations:
            self.revision += 1
            for operation in operations:
                if "put" in operation:
                    self.put(operation["put"], operation["value"], operation.get("grant", 0))
                else:
                    self.delete(operation["delete"])
            self.publish()
        return 200, {"ledger_rev": self.revision}

    def list(self, query):
        prefix, start, most = query.get("prefix", ""), query.get("from", ""), int(query.get("most", "1000"))
        names = sorted(key for key in self.keys if key.startswith(prefix))
        names = names[bisect.bisect_right(names, start) :]
        items = [{"k": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in names[: min(most, 1000)]]
        return 200, {"items": items, "truncated": len(names) > len(items), "ledger_rev": self.revision}

    async def watch(self, query):
        prefix, start = query.get("prefix", ""), int(query.get("from", "0"))
        end = time.monotonic() + int(query.get("hold_ms", "0")) / 1000
        if len(self.log) >= LOG_SIZE and start + 1 < self.log[0][0]:
            return 410, {}
        while True:
            first = bisect.bisect_right([entry[0] for entry in self.log[-500:]], start)
            recent = self.log[-500:][first:] if len(self.log) <= 500 or self.log[-500][0] <= start else self.log
            news = [event for revision, key, event in recent if revision > start and key.startswith(prefix)]
            left = end - time.monotonic()
            if news or left <= 0:
                return 200, {"ledger_rev": self.revision, "news": news}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def hold(self, method, path, body):
        if path == "/holds":
            self.next_grant += 1
            life_s = body["life_ms"] / 1000
            self.holds[self.next_grant] = [life_s, time.monotonic() + life_s]
            return 200, {"grant": self.next_grant}
        grant = int(path.split("/")[2])
        if method == "DELETE":
            self.end_hold(grant)
            return 200, {}
        if grant not in self.holds:
            return 404, {}
        self.holds[grant][1] = time.monotonic() + self.holds[grant][0]
        return 200, {}

    async def handle(self, method, path, query, body):
        self.expire()
        if not self.requests.take(1):
            return 429, cbor.encode({})
        if path == "/watch":
            status, answer = await self.watch(query)
        elif path == "/store":
            status, answer = self.list(query)
        elif path.startswith("/store/"):
            key = path[len("/store/") :]
            entry = self.keys.get(key)
            if entry is None:
                status, answer = 404, {"ledger_rev": self.revision}
            else:
                status, answer = 200, {"k": key, "value": entry[0], "stamp": entry[1], "grant": entry[2]}
        else:
            try:
                content = cbor.decode(body) if body else {}
            except (ValueError, UnicodeDecodeError):
                return 400, cbor.encode({"error": "malformed"})
            if path == "/txn":
                status, answer = self.txn(content)
            else:
                status, answer = self.hold(method, path, content)
        return status, cbor.encode(answer)
