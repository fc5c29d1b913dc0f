"""A network between hosts: forwards connections, and can hold back their packets for a while."""

import asyncio
import socket
import struct


class Path:
    """Forwards the connections of some hosts to one port. While it is cut, it holds all packets back. What was
    held is delivered in order after the cut, also on a connection that its sender has closed since; a
    connection attempt of that time does not complete later."""

    def __init__(self, port):
        self.target, self.port, self.cut, self.links = port, 0, False, []

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _accept(self, reader, writer):
        if self.cut:
            await reader.read()  # nothing is answered, until the sender gives up
            return writer.close()
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return writer.transport.abort()
        link = Link(self, reader, writer, other_reader, other_writer)
        self.links.append(link)
        await link.run()
        self.links.remove(link)

    def begin_cut(self):
        self.cut = True

    def end_cut(self):
        """Returns the number of closed connections on which a request was held."""
        self.cut = False
        return sum(link.release() for link in list(self.links))


class Link:
    def __init__(self, path, reader, writer, other_reader, other_writer):
        self.path, self.reader, self.writer = path, reader, writer
        self.other_reader, self.other_writer = other_reader, other_writer
        self.held, self.held_back, self.closed = [], [], False

    async def run(self):
        back = asyncio.ensure_future(self._forward_back())
        try:
            while data := await self.reader.read(1 << 16):
                if self.path.cut:
                    self.held.append(data)
                else:
                    self.other_writer.write(data)
        except ConnectionError:
            pass
        self.closed = True
        while self.path.cut:
            await asyncio.sleep(0.05)
        self.other_writer.close()
        self.writer.close()
        back.cancel()

    async def _forward_back(self):
        try:
            while data := await self.other_reader.read(1 << 16):
                if self.path.cut:
                    self.held_back.append(data)
                else:
                    self.writer.write(data)
        except ConnectionError:
            pass
        self.writer.close()

    def release(self):
        """After the cut. The host of a sender that has closed the connection delivers its last packets, and
        since it no longer knows the connection, answers the other side's acknowledgement with a reset."""
        for data in self.held:
            self.other_writer.write(data)
        if not self.closed:
            for data in self.held_back:
                self.writer.write(data)
        else:
            end = self.other_writer.get_extra_info("socket")
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                end.shutdown(socket.SHUT_WR)
            except OSError:
                pass  # the other side has ended the connection
            self.other_writer.transport.abort()
        return 1 if self.closed and self.held else 0
