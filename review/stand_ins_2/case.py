"""Frame of a case: starts the stand-ins and the controllers, ends them all, and turns the outcome into the
exit status: 1 the rule was broken, 0 it held, 2 the case could not run."""

import asyncio
import os
import signal
import sys
import tempfile

import controllers
import platform_2

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110


class NotRun(Exception):
    """The case could not run."""


class Case:
    def __init__(self, trouble, record, log_level="info"):
        self.trouble = trouble != "0"
        self.record = open(record, "w")
        self.log_level = log_level

    async def set_up(self, machines, controller_count=3, zones=None):
        self.state = await platform_2.StateService().start()
        self.world = await platform_2.World(self.record, controllers.RIGS, controllers.WORKERS).start()
        self.log = self.world.log
        self.log("trouble=%d" % self.trouble)
        self.controllers = controllers.Controllers(
            self.folder, self.state.server.port, self.world.server.port, controller_count, self.log_level
        )
        self.world.nodes = dict(self.controllers.ports)
        self.controllers.start_all()
        zones = zones or controllers.ZONES
        for i in range(machines):
            await self.world.add_machine("render-32g", zones[i % len(zones)], False)
        if not await self.controllers.wait_until_up():
            raise NotRun("the controllers are not up after 30 s")

    async def run(self, play):
        with tempfile.TemporaryDirectory() as folder:
            self.folder, self.controllers = folder, None
            try:
                return await asyncio.wait_for(play(self), TIME_LIMIT_S)
            finally:
                if self.controllers:
                    self.controllers.stop()
                    for name in self.controllers.names:
                        with open(os.path.join(folder, name + ".log"), errors="replace") as log:
                            for line in list(log)[-40:]:
                                self.record.write("log of %s: %s" % (name, line))


def main(play, **settings):
    """The arguments of the program: TROUBLE, and the file of the record."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    case = Case(*sys.argv[1:3], **settings)
    try:
        status = asyncio.run(case.run(play))
    except NotRun as reason:
        case.record.write("not run: %s\n" % reason)
        status = NOT_RUN
    except Exception as error:  # a fault of the case itself
        case.record.write("not run: %r\n" % error)
        status = NOT_RUN
    case.record.write("exit status %d\n" % status)
    case.record.close()
    os._exit(status)  # without the warnings of connections that are still open
