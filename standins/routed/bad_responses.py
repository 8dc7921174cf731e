"""Responses that violate HTTP or belong to another request. Each function
writes one and returns whether the connection is kept."""

import asyncio
import socket
import struct

import wire

ENDLESS_CHUNK = b"x" * 65536
# About 100 MB a second: more than the memory of a daemon within its limits.
ENDLESS_INTERVAL_S = 0.0005
# The endless responses stop here, so that a fault can't fill the disk or the
# memory of the machine.
ENDLESS_MAX_BYTES = 400 << 20
LARGE_BODY_BYTES = 200000
EARLY_PART = b"id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
EARLY_RESET_S = 0.05


def head(headers, framing, status=200):
    return wire.response_head(status, {**headers, **framing})


def cut_points(headers):
    """Responses that break off, by name."""
    chunked = head(headers, {"Transfer-Encoding": "chunked"})
    sized = head(headers, {"Content-Length": "12"})
    large = head(headers, {"Content-Length": str(LARGE_BODY_BYTES)})
    large_chunked = chunked + b"%x\r\n" % LARGE_BODY_BYTES
    return {
        "cuthead": sized[:40],
        "cutbody": sized + b"half",
        "cutsize": chunked + b"6\r\nwhole\n\r\n1",
        "cutchunk": chunked + b"6\r\nwho",
        "cutlast": chunked + b"6\r\nwhole\n\r\n",
        "cuttrailer": chunked + b"6\r\nwhole\n\r\n0\r\nX-Sum: 1",
        # More than a daemon buffers: the caller has the head already.
        "cutlarge": large + b"y" * (LARGE_BODY_BYTES // 2),
        "cutlargechunk": large_chunked + b"y" * (LARGE_BODY_BYTES // 2),
    }


def endless_starts(headers):
    """Starts of responses that go on without an end, by name."""
    chunked = head(headers, {"Transfer-Encoding": "chunked"})
    failed = head(headers, {"Transfer-Encoding": "chunked"}, 500)
    return {
        "endlessbytes": b"",
        "endlesshead": b"HTTP/1.1 200 OK\r\nX-Long: ",
        "endlessext": chunked + b"1;ext=",
        "endlesstrailer": chunked + b"0\r\nX-Long: ",
        "endlessbody": head(headers, {}),
        "endlessfail": failed,
        "endlessinterim": b"",
    }


def endless_part(name):
    if name == "endlessfail":
        return b"10000\r\n" + ENDLESS_CHUNK + b"\r\n"
    if name == "endlessinterim":
        return b"HTTP/1.1 102 Processing\r\n\r\n" * 2000
    return ENDLESS_CHUNK


def other_answers(headers, last):
    """Answers to a stream's request that aren't its rest, by name: status, body,
    headers."""
    events = b"".join(b"id: %d\ndata: error\n\n" % n
                      for n in range(last + 1, last + 3))
    json = {**headers, "Content-Type": "application/json"}
    stream = {**headers, "Content-Type": "text/event-stream"}
    unsigned = {name: value for name, value in stream.items()
                if not name.endswith("Response-Seal")}
    unnamed = {name: value for name, value in stream.items()
               if not name.endswith("Request-Id")}
    return {
        "500": (500, b"failed\n", headers),
        "500empty": (500, b"", headers),
        "500events": (500, events, stream),
        "404": (404, b"{}\n\n", json),
        "302": (302, b"", {**headers, "Location": "/"}),
        "503": (503, events, stream),
        "503empty": (503, b"", headers),
        "421": (421, events, stream),
        "json": (200, b'{"text":"whole"}\n', json),
        "jsonblank": (200, b"\n\n", json),
        "jsonempty": (200, b"", json),
        "unsigned": (200, events, unsigned),
        "unnamed": (200, events, unnamed),
        "202": (202, b"", stream),
        "empty": (200, b"", stream),
    }


async def write_other(writer, name, headers, last):
    """"chunked" after a name: in chunks, with a trailer."""
    if name == "204":
        writer.write(wire.response_head(204, headers))
        return True
    if name == "halfhead":
        return await write_cut(writer, wire.response(200, b"", headers)[:60])
    status, body, headers = other_answers(headers, last)[
        name.removesuffix("chunked")]
    if not name.endswith("chunked"):
        writer.write(wire.response(status, body, headers))
        return True
    writer.write(head(headers, {"Transfer-Encoding": "chunked"}, status))
    writer.write(b"%x\r\n" % len(body) + body + b"\r\n" if body else b"")
    writer.write(b"0\r\nX-Error: yes\r\nid: 4\r\n\r\n")
    return True


async def write_cut(writer, text):
    writer.write(text)
    await writer.drain()
    # Everything sent so far arrives before the end of the connection.
    await asyncio.sleep(0.05)
    return False


async def write_early(writer, name, headers):
    """Sends a part of a response without a length while the request's body is unread,
    and resets the connection. In the name: "continue" sends a 100 before it, "old" is
    HTTP/1.0, "close" says that the connection closes, "bare" ends after the head,
    "late" resets later, "end" sends an orderly close before the reset: so does the kernel
    of a server that closes when it has read all that has arrived."""
    words = name.split("-")
    if "close" in words:
        headers = {**headers, "Connection": "close"}
    text = head(headers, {})
    if "old" in words:
        text = text.replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    if "continue" in words:
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    writer.write(text + (b"" if "bare" in words else EARLY_PART))
    await writer.drain()
    if "end" in words:
        writer.write_eof()
    if "late" in words or "end" in words:
        await asyncio.sleep(EARLY_RESET_S)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
    return False


async def write_endless(writer, name, start):
    """Returns the number of bytes that were taken until the peer closed."""
    n = len(start)
    try:
        writer.write(start)
        while n < ENDLESS_MAX_BYTES:
            part = endless_part(name)
            writer.write(part)
            await writer.drain()
            n += len(part)
            await asyncio.sleep(ENDLESS_INTERVAL_S)
    except ConnectionError:
        pass
    return n


async def write_trickle(writer, headers):
    """A body of which one byte arrives now and then."""
    try:
        writer.write(head(headers, {"Content-Length": "1000"}))
        for _ in range(1000):
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(0.1)
    except ConnectionError:
        pass
    return False
