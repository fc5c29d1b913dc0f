"""Minimal CBOR codec for the types that the protocol uses: maps, lists, text, numbers, booleans and null."""

import struct


def _head(major, value):
    major <<= 5
    if value < 24:
        return bytes([major | value])
    for info, form, limit in ((24, ">B", 1 << 8), (25, ">H", 1 << 16), (26, ">I", 1 << 32)):
        if value < limit:
            return bytes([major | info]) + struct.pack(form, value)
    return bytes([major | 27]) + struct.pack(">Q", value)


def encode(value):
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        text = value.encode()
        return _head(3, len(text)) + text
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(encode(item) for item in value)
    if isinstance(value, dict):
        return _head(5, len(value)) + b"".join(encode(k) + encode(v) for k, v in value.items())
    raise TypeError(type(value))


def _argument(data, pos, info):
    if info < 24:
        return info, pos
    size = 1 << (info - 24)
    return int.from_bytes(data[pos : pos + size], "big"), pos + size


def _half(bits):
    exponent, mantissa = bits >> 10 & 31, bits & 1023
    if exponent == 0:
        value = mantissa * 2.0**-24
    elif exponent == 31:
        value = float("inf") if mantissa == 0 else float("nan")
    else:
        value = (mantissa + 1024) * 2.0 ** (exponent - 25)
    return -value if bits >> 15 else value


def _decode(data, pos):
    major, info = data[pos] >> 5, data[pos] & 31
    pos += 1
    if major == 7:
        if info == 25:
            return _half(int.from_bytes(data[pos : pos + 2], "big")), pos + 2
        if info == 26:
            return struct.unpack(">f", data[pos : pos + 4])[0], pos + 4
        if info == 27:
            return struct.unpack(">d", data[pos : pos + 8])[0], pos + 8
        return {20: False, 21: True, 22: None}[info], pos
    value, pos = _argument(data, pos, info)
    if major == 0:
        return value, pos
    if major == 1:
        return -1 - value, pos
    if major == 3:
        return data[pos : pos + value].decode(), pos + value
    if major == 4:
        items = []
        for _ in range(value):
            item, pos = _decode(data, pos)
            items.append(item)
        return items, pos
    if major == 5:
        result = {}
        for _ in range(value):
            key, pos = _decode(data, pos)
            result[key], pos = _decode(data, pos)
        return result, pos
    raise ValueError("not a type of the protocol")


def decode(data):
    return _decode(data, 0)[0]
