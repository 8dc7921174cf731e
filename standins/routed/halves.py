"""Answers in two halves, named WHEN-FRAMING-STATUS-KBYTES.

WHEN: long before the head (slow) or soon (soon), soon without the second half as the
connection is reset (cut), or reset before the head (none). FRAMING: length, chunks, or
close, which has neither. KBYTES: of each half, at least a line.
"""

import asyncio
import socket
import struct

import wire

SLOW_S = 0.6
SOON_S = 0.06
PAUSE_S = 0.3  # between the halves
CUT_S = 0.2  # after the first half
WHENS = ("slow", "soon", "cut", "none")


def half(server, which, n_kbytes):
    line = f"{which} half of {server}\n".encode()
    return line * max(1, n_kbytes * 1024 // len(line))


async def write_halves(writer, name, server, headers, has_body):
    """Returns whether the connection is kept."""
    when, framing, status, n_kbytes = name.split("-")
    first, second = (half(server, which, int(n_kbytes))
                     for which in ("first", "second"))
    if framing == "length":
        headers = {**headers, "Content-Length": len(first + second)}
    elif framing == "chunks":
        headers = {**headers, "Transfer-Encoding": "chunked"}
        first = b"%x\r\n%s\r\n" % (len(first), first)
        second = b"%x\r\n%s\r\n0\r\n\r\n" % (len(second), second)
    await asyncio.sleep(SLOW_S if when == "slow" else SOON_S)
    if when != "none":
        writer.write(wire.response_head(status, headers) +
                     (first if has_body else b""))
    if when in ("cut", "none"):
        await asyncio.sleep(CUT_S)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        return False
    await asyncio.sleep(PAUSE_S)
    writer.write(second if has_body else b"")
    await writer.drain()
    return framing != "close"
