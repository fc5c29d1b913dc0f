"""A user submits a job in which one text is Latin-1 and not UTF-8, and repeats it as the protocol says."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import cbor  # noqa: E402
import deployment  # noqa: E402
import malformed  # noqa: E402


async def case(world, trouble):
    body = cbor.encode(world.submission(owner="typesetters", bundle="img-X7"))
    if not trouble:
        return await malformed.run(world, body, (200, 201))
    # 0xE9 is e with an acute accent in Latin-1; no text in UTF-8 has this byte before a '7'.
    return await malformed.run(world, body.replace(b"img-X7", b"img-\xe97"), (400,))


if __name__ == "__main__":
    deployment.main(os.path.join(HERE, "record.txt"), case)
