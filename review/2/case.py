"""A user sends a body that is not CBOR, and repeats it as the protocol says."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import cbor  # noqa: E402
import deployment  # noqa: E402
import malformed  # noqa: E402


async def case(world, trouble):
    if not trouble:
        return await malformed.run(world, cbor.encode(world.submission(owner="typesetters")), (200, 201))
    # A file of text instead of a submission. Its first character is a quotation mark, 0xBB in Latin-1; as CBOR,
    # this byte begins a map, and the next eight bytes are the number of its fields.
    return await malformed.run(world, "\u00bb run-000412, layout-render, img-07 \u00ab\n".encode("latin-1"), (400,))


if __name__ == "__main__":
    deployment.main(os.path.join(HERE, "record.txt"), case)
