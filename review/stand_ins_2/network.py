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
        far = socket.socket()
        far.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(far, ("127.0.0.1", self.target))
        except OSError:
            far.close()
            return writer.transport.abort()
        link = Link(self, reader, writer, far)
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
    """One connection: `reader` and `writer` lead to its sender, the socket `far` to the other host."""

    def __init__(self, path, reader, writer, far):
        self.path, self.reader, self.writer, self.far = path, reader, writer, far
        self.loop = asyncio.get_running_loop()
        self.held, self.held_back, self.closed = [], [], False

    async def run(self):
        back = asyncio.ensure_future(self._forward_back())
        try:
            while data := await self.reader.read(1 << 16):
                if self.path.cut:
                    self.held.append(data)
                else:
                    await self.loop.sock_sendall(self.far, data)
        except OSError:
            pass
        self.closed = True
        while self.path.cut:
            await asyncio.sleep(0.05)
        back.cancel()
        self._close_far()
        self.writer.close()

    async def _forward_back(self):
        try:
            while data := await self.loop.sock_recv(self.far, 1 << 16):
                if self.path.cut:
                    self.held_back.append(data)
                else:
                    self.writer.write(data)
        except OSError:
            pass
        self.writer.close()

    def _close_far(self):
        if self.far.fileno() >= 0:
            self.loop.remove_reader(self.far)
            self.far.close()

    def release(self):
        """After the cut. The last packets of a sender that has closed the connection are delivered: what it
        sent and the end of the connection. Then the connection, which its host no longer knows, is reset."""
        try:
            for data in self.held:
                self.far.send(data)
            if self.closed:
                self.far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.far.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # the other host has ended the connection
        if self.closed:
            self._close_far()
        else:
            for data in self.held_back:
                self.writer.write(data)
        return 1 if self.closed and self.held else 0
