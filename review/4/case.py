"""Two zones cannot reach each other for 20 s, and what was held back is delivered afterwards."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))

import case  # noqa: E402
import controllers  # noqa: E402
import network  # noqa: E402

CUT_S = 20.0
FAR_ZONE = "gabes-annex"  # has machines, but no controller
FAR_MACHINES = 12


async def play(this):
    await this.set_up(machines=4, zones=controllers.AREAS)
    world = this.world
    direct = dict(world.nodes)
    paths = {name: await network.Path(port).start() for name, port in direct.items()}
    far = []
    for _ in range(FAR_MACHINES):
        host = await world.add_machine("render-32g", FAR_ZONE, False)
        while world.machines[host]["worker"] is None:
            await asyncio.sleep(0.01)
        worker = world.machines[host]["worker"]
        worker.world = FarView(world, {name: path.port for name, path in paths.items()})
        far.append(worker)
    ref = "run-000001"
    world.jobs[ref] = {"fetch_s": 2.0, "run_s": 300.0}
    status = await controllers.submit(direct["millstone-0"], controllers.job(ref, shards=64, runtime_s=300.0))
    this.log("submitted %s: %d" % (ref, status))
    await asyncio.sleep(15.0)
    names = list(direct)
    owners = [names[worker.node] for worker in far if worker.tasks]
    cut = max(names, key=owners.count)
    this.log("workers of %s report to %s" % (FAR_ZONE, {n: owners.count(n) for n in names}))
    if this.trouble:
        this.log("cut between %s and the zone of %s" % (FAR_ZONE, cut))
        paths[cut].begin_cut()
    await asyncio.sleep(CUT_S)
    if this.trouble:
        held = paths[cut].end_cut()
        this.log("cut over; requests delivered on connections that their senders had closed: %d" % held)
        if held == 0:
            raise case.NotRun("no request was held")
    await asyncio.sleep(10.0)
    ended = this.controllers.ended()
    this.log("tasks on machines: %d; reports: %s" % (
        sum(map(len, world.on_machine.values())), sorted(world.counts.items())))
    for name, status in ended.items():
        this.log("controller ended by itself: %s exit status %d (below 0: signal)" % (name, status))
    return case.BROKEN if ended else case.HELD


class FarView:
    """The world as workers of the far zone see it: other ports of the controllers."""

    def __init__(self, world, nodes):
        self._world, self.nodes = world, nodes

    def __getattr__(self, name):
        return getattr(self._world, name)


case.main(play)
