"""Stand-in of the load balancer and of a user behind it, by the rules of the users' pages."""

import asyncio
import time

import http_io

DECIDED = (200, 201, 400, 422)


class Balancer:
    """Probes each node once a second. A node that was removed comes back after two successes and 3 s."""

    def __init__(self, world):
        self.world, self.turn = world, 0
        self.healthy = {name: True for name in world.nodes}
        self.results = {name: [] for name in world.nodes}
        self.removed_at = {name: 0.0 for name in world.nodes}
        world.background.append(asyncio.ensure_future(self.probe()))

    async def probe(self):
        while True:
            for name in self.world.nodes:
                results = (self.results[name] + [await self.world.is_up(name)])[-6:]
                self.results[name] = results
                if self.healthy[name] and (results[-2:] == [False, False] or results.count(False) >= 3):
                    self.healthy[name], self.removed_at[name] = False, time.monotonic()
                elif not self.healthy[name] and results[-2:] == [True, True]:
                    self.healthy[name] = time.monotonic() - self.removed_at[name] >= 3
                    if self.healthy[name]:
                        self.results[name] = []
            await asyncio.sleep(1)

    async def send(self, method, path, body, timeout_s):
        """One connection to a healthy node; one that refuses the connection is passed over, up to three times."""
        for _ in range(3):
            names = [name for name in sorted(self.world.nodes) if self.healthy[name]]
            if not names:
                return 0, b""
            self.turn += 1
            name = names[self.turn % len(names)]
            if not await http_io.accepts(self.world.nodes[name], 0.5):
                continue
            status, answer = await http_io.request(self.world.nodes[name], method, path, body, timeout_s)
            self.world.record("user -> %s: %s %s (%d bytes): %d" % (name, method, path, len(body), status))
            return status, answer
        return 0, b""


async def submit(world, balancer, body, for_s):
    """Repeats the submission after 1 s until it is decided, for `for_s` at most; returns the last status."""
    end = time.monotonic() + for_s
    status = 0
    while time.monotonic() < end:
        status, _ = await balancer.send("POST", "/submissions", body, 5.0)
        if status in DECIDED:
            break
        world.record("user: no decision, repeats in 1 s")
        await asyncio.sleep(1)
    return status
