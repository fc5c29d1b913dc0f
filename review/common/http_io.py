"""HTTP/1.1 for the stand-ins: a server, and requests with one connection each."""

import asyncio
import re


async def _read_headers(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def _read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def serve(handler, port=0, host="127.0.0.1"):
    """`handler(method, path, query, body)` returns (status, body bytes), or None to close without an answer."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers = await _read_headers(reader)
                method, target, _ = line.split(" ", 2)
                body = await _read_body(reader, headers)
                path, _, query = target.partition("?")
                answer = await handler(method, path, dict(re.findall(r"([^&=]+)=([^&]*)", query)), body)
                if answer is None:
                    break
                close = headers.get("connection", "").lower() == "close"
                head = "HTTP/1.1 %d X\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n" % (
                    answer[0],
                    len(answer[1]),
                )
                writer.write((head + ("Connection: close\r\n" if close else "") + "\r\n").encode() + answer[1])
                await writer.drain()
                if close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port)


def port_of(server):
    return server.sockets[0].getsockname()[1]


async def request(port, method, path, body=b"", timeout_s=5.0, host="127.0.0.1"):
    """Returns (status, body bytes); status 0 stands for no response or a failed connection."""
    writer = None
    try:

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, port)
            head = "%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
            writer.write((head % (method, path, host, port, len(body))).encode() + body)
            await writer.drain()
            line, headers = await _read_headers(reader)
            return int(line.split(" ")[1]), await _read_body(reader, headers)

        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def accepts(port, timeout_s, host="127.0.0.1"):
    """Whether the port accepts a connection."""
    try:
        _, writer = await asyncio.wait_for(asyncio.open_connection(host, port), timeout_s)
        writer.close()
        return True
    except (OSError, asyncio.TimeoutError):
        return False
