"""Minimal HTTP/1.1 server for the stand-ins. Handlers write the bytes of a
response themselves, so that tests can violate the protocol."""

import asyncio
import json
import os
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query,
                                                 keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_request(reader):
    """Returns the next request, or None at the end of the connection."""
    try:
        header_block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = header_block.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", 0))
    if length and not target.endswith("?unread"):
        body = await reader.readexactly(length)
    return Request(method, target, headers, body)


# Headers of all responses.
common_headers = {}


def response_head(status, headers):
    headers = {**common_headers, **headers}
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Failed",
               421: "Misdirected Request", 500: "Error", 503: "Busy"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response(status, body=b"", headers=None):
    headers = dict(headers or {})
    headers["Content-Length"] = len(body)
    return response_head(status, headers) + body


def json_response(status, value):
    return response(status, json.dumps(value).encode(),
                    {"Content-Type": "application/json"})


async def listen(handle, ports_file, port=0, admit=None):
    """Listens on a loopback port and writes its number to ports_file.
    handle(request, reader, writer) writes the response and returns False to
    close the connection. admit(writer) returns False if it has reset a new
    connection. Returns the server and the port."""
    async def handle_connection(reader, writer):
        if admit and not admit(writer):
            return
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if await handle(request, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle_connection, "127.0.0.1",
                                        port)
    port = server.sockets[0].getsockname()[1]
    with open(ports_file + ".new", "w", encoding="ascii") as f:
        f.write(f"{port}\n")
    os.replace(ports_file + ".new", ports_file)
    return server, port
