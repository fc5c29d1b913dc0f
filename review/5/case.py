"""An accepted job of many small tasks. Usage: see run.sh."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))

import case  # noqa: E402
import controllers  # noqa: E402
import web  # noqa: E402

SHARDS = 2400  # of 100,000 that a job may have
RUN_S = 5.0
OBSERVED_S = 95.0


async def play(this):
    await this.set_up(machines=1)
    world, port = this.world, this.controllers.ports["millstone-0"]
    shards = SHARDS if this.trouble else SHARDS // 10
    world.jobs = {ref: {"fetch_s": 1.0, "run_s": RUN_S} for ref in ("run-000001", "run-000002")}
    small = dict(vcpus=0.01, accelerators=0.0, memory_gb=0.05, runtime_s=RUN_S, size_gb=0.6)
    status = await controllers.submit(port, controllers.job("run-000001", shards=shards, **small))
    this.log("submitted run-000001 shards=%d: %d" % (shards, status))
    if status not in (200, 201):
        raise case.NotRun("the job was not accepted: %d" % status)
    # A job of one task of the same team, which the same machine can run at the same time.
    status = await controllers.submit(port, controllers.job("run-000002", vcpus=1.0, memory_gb=1.0))
    this.log("submitted run-000002 shards=1: %d" % status)
    answers, end = {}, time.monotonic() + OBSERVED_S
    while time.monotonic() < end and len(answers) < 2:
        await asyncio.sleep(5.0)
        for ref in world.jobs:
            status, body, _ = await web.call(port, "GET", "/submissions/" + ref, timeout=2.0)
            this.log("polled %s: %d %s" % (ref, status, body))
            if body and body.get("phase") == "done":
                answers[ref] = True
        this.log("tasks done=%d on machine=%d %s" % (
            len(world.done), sum(map(len, world.on_machine.values())), sorted(world.counts.items())))
    this.log("tasks started: %d; transactions refused as malformed: %s" % (
        len(world.run_counts), this.state.malformed))
    not_run = [ref for ref in world.jobs if not any(shard.startswith(ref + "/") for shard in world.done)]
    this.log("jobs done: %s of 2; accepted jobs of which no task has completed: %s" % (len(answers), not_run))
    return case.BROKEN if not_run else case.HELD


case.main(play)
