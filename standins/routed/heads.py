"""Answers that break off in their head, named FRAMING-CUT-END.

FRAMING: length, zero, chunked, trailer, unframed, interim (103 before it).
CUT: status, named (before the header that frames the body), digits (inside its
value), value (before its line end), line, cr (inside the last line end), body (after
the whole head). END: close or reset.
"""

import asyncio
import socket
import struct

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
FRAMINGS = {
    "length": b"Content-Length: 12345", "zero": b"Content-Length: 0",
    "chunked": b"Transfer-Encoding: chunked",
    "trailer": b"Trailer: X-Sum\r\nTransfer-Encoding: chunked",
    "unframed": b"", "interim": b"Content-Length: 12345"}
CUTS = ("status", "named", "digits", "value", "line", "cr", "body")


def cut_head(name, headers):
    framing, cut, _ = name.split("-")
    line = FRAMINGS[framing]
    lines = [b"HTTP/1.1 200 OK"] + [f"{key}: {value}".encode("latin-1")
                                    for key, value in headers.items()]
    named = b"\r\n".join(lines) + b"\r\n"
    whole = named + (line + b"\r\n" if line else b"")
    text = {"status": b"HTTP/1.1 20", "named": named,
            "digits": named + line[:-2], "value": named + line, "line": whole,
            "cr": whole + b"\r", "body": whole + b"\r\n"}[cut]
    return (INTERIM if framing == "interim" else b"") + text


def is_whole(name, method):
    """True if the answer is a whole one nevertheless."""
    framing, cut, end = name.split("-")
    return cut == "body" and (method == "HEAD" or framing == "zero" or
                              framing == "unframed" and end == "close")


def names():
    return [f"{framing}-{cut}-{end}" for framing in FRAMINGS for cut in CUTS
            for end in ("close", "reset")]


async def write_head(writer, name, headers):
    writer.write(cut_head(name, headers))
    await writer.drain()
    # Everything sent so far arrives before the end of the connection.
    await asyncio.sleep(0.02)
    if name.endswith("reset"):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    return False
