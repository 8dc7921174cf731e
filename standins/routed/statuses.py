"""Answers with a status that is none, named STATUS-SHAPE.

SHAPE: kept (the connection stays open), close (it ends after the answer), next (an
answer with status 200 follows), line (nothing follows the status line), notrun (says
that the request was not run). Beside these: 103-length, 204-length and 304-length name
the length of a body that they never have; a 200 follows the 103.
"""

import asyncio

import wire

STATUSES = ("000", "099", "20", "0200", "600", "999", "101", "switch")
SHAPES = ("kept", "close", "next", "line", "notrun")
SWITCH = {"Upgrade": "websocket", "Connection": "upgrade"}


def names():
    return [f"{status}-{shape}" for status in STATUSES for shape in SHAPES]


def answer(name, headers, body=b"id: 1\n\n"):
    status, shape = name.split("-")
    if status == "switch":
        status, headers = "101", {**headers, **SWITCH}
    if shape == "length":
        head = wire.response_head(status, {**headers, "Content-Length": "2"})
        return head + (wire.response(200, body, headers)
                       if status == "103" else b"")
    if shape == "line":
        return f"HTTP/1.1 {status} OK\r\n".encode()
    if shape == "notrun":
        return wire.response(status, b"", {
            **headers, "Goldcrestfield-Not-Executed": "1"})
    # What precedes a 200 has no body, as an interim response has none.
    if shape == "next":
        return (wire.response_head(status, headers) +
                wire.response(200, body, headers))
    return wire.response(status, body, headers)


async def write_status(writer, name, headers):
    writer.write(answer(name, headers))
    await writer.drain()
    # Everything sent so far arrives before the end of the connection.
    await asyncio.sleep(0.02)
    return not name.endswith("close")
