"""A small codec for the part of CBOR that the protocol uses: maps, lists, text, numbers, booleans, null."""

import struct


class Raw(bytes):
    """Bytes that are placed into the encoded form as they are."""


def _head(major, value):
    if value < 24:
        return bytes([major << 5 | value])
    for code, fmt, limit in ((24, ">B", 1 << 8), (25, ">H", 1 << 16), (26, ">I", 1 << 32), (27, ">Q", 1 << 64)):
        if value < limit:
            return bytes([major << 5 | code]) + struct.pack(fmt, value)
    raise ValueError("number too large")


def encode(item):
    if isinstance(item, Raw):
        return bytes(item)
    if item is None:
        return b"\xf6"
    if item is True:
        return b"\xf5"
    if item is False:
        return b"\xf4"
    if isinstance(item, int):
        return _head(0, item) if item >= 0 else _head(1, -1 - item)
    if isinstance(item, float):
        return b"\xfb" + struct.pack(">d", item)
    if isinstance(item, str):
        text = item.encode("utf-8")
        return _head(3, len(text)) + text
    if isinstance(item, (list, tuple)):
        return _head(4, len(item)) + b"".join(encode(part) for part in item)
    if isinstance(item, dict):
        return _head(5, len(item)) + b"".join(encode(key) + encode(value) for key, value in item.items())
    raise TypeError("cannot encode " + type(item).__name__)


class _Reader:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, count):
        if self.at + count > len(self.data):
            raise ValueError("CBOR ends early")
        self.at += count
        return self.data[self.at - count : self.at]

    def argument(self, info):
        if info < 24:
            return info
        if info == 24:
            return self.take(1)[0]
        if info == 25:
            return struct.unpack(">H", self.take(2))[0]
        if info == 26:
            return struct.unpack(">I", self.take(4))[0]
        if info == 27:
            return struct.unpack(">Q", self.take(8))[0]
        raise ValueError("CBOR length not supported")

    def simple(self, info):
        if info == 20:
            return False
        if info == 21:
            return True
        if info in (22, 23):
            return None
        if info == 25:
            return struct.unpack(">e", self.take(2))[0]
        if info == 26:
            return struct.unpack(">f", self.take(4))[0]
        if info == 27:
            return struct.unpack(">d", self.take(8))[0]
        raise ValueError("CBOR value not supported")

    def item(self):
        first = self.take(1)[0]
        major, info = first >> 5, first & 31
        if major == 7:
            return self.simple(info)
        value = self.argument(info)
        if major == 0:
            return value
        if major == 1:
            return -1 - value
        if major == 3:
            return self.take(value).decode("utf-8")
        if major == 4:
            return [self.item() for _ in range(value)]
        if major == 5:
            return {self.item(): self.item() for _ in range(value)}
        raise ValueError("CBOR type not supported")


def decode(data):
    reader = _Reader(data)
    item = reader.item()
    if reader.at != len(data):
        raise ValueError("bytes after the CBOR value")
    return item
