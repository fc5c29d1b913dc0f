"""Common part of the cases in which a user of one team sends a malformed submission beside another team's service."""

import asyncio

import balancer
import deployment

REPEAT_FOR_S = 40  # the protocol allows 60 s


async def run(world, body, expected):
    """Returns what broke the rule, or an empty text. `expected`: the statuses that the page gives for `body`."""
    await world.start_all()
    ends = world.watch_for_ends()
    front = balancer.Balancer(world)
    service = world.submission(shape="standing", rank="production", shards=2, loaners=False, runtime_s=0.0)
    status, _ = await world.submit("millstone-0", service)
    if status != 201:
        raise deployment.CannotRun("the other team's service was not accepted")

    async def both_run():
        return sum(1 for event in world.events if event[1] == "start") >= 2

    await world.wait_for("the service to run", 30, both_run)
    world.record("user of typesetters: the body is %s" % body.hex())
    status = await balancer.submit(world, front, body, REPEAT_FOR_S)
    world.record("user of typesetters: last status %d, the page says %s" % (status, expected))
    await asyncio.sleep(3)
    for name in deployment.NAMES:
        await world.poll(name, service["ref"])
    lost = sum(1 for event in world.events if event[1] == "lease over")
    world.record("replicas of the other team's service that were lost: %d" % lost)
    if ends:
        return "%d ends of controllers by themselves, the first: %s; replicas of another team lost: %d" % (
            len(ends),
            ends[0],
            lost,
        )
    return "" if status in expected else "the submission was answered with %d" % status
