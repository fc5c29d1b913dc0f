"""HTTP/1.1 over asyncio, with CBOR bodies: a server and a client for the stand-ins."""

import asyncio

import cbor


async def _read_headers(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Calls `handler(method, path, body)`, a coroutine that returns (status, body). None: no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 24)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_headers(reader)
                method, path, _ = first.split(" ", 2)
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                answer = await self.handler(method, path, cbor.decode(body) if body else None)
                if answer is None:
                    return
                status, content = answer
                data = b"" if content is None else cbor.encode(content)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self):
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


class Connection:
    """A client's connection that stays open between requests."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns (status, body, raw size); status 0: no response or connection failure."""
        try:
            return await asyncio.wait_for(self._request(method, path, body), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            self.close()
            return 0, None, 0

    async def _request(self, method, path, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 24)
        data = b"" if body is None else cbor.encode(body)
        self.writer.write(
            b"%s %s HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n"
            % (method.encode(), path.encode(), len(data))
            + data
        )
        await self.writer.drain()
        first, headers = await _read_headers(self.reader)
        size = int(headers.get("content-length", "0"))
        content = await self.reader.readexactly(size) if size else b""
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), cbor.decode(content) if content else None, len(content)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call(port, method, path, body=None, timeout=5.0):
    connection = Connection(port)
    try:
        return await connection.request(method, path, body, timeout)
    finally:
        connection.close()
