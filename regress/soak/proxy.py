"""A loopback TCP proxy that delays, blocks or resets connections."""

import asyncio
import os
import socket
import struct
import sys
import time

sys.path.append(os.path.join(os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__)))), "standins", "routed"))

import cut

HELD_S = 0.05  # shorter holds don't matter to the checks
DROP_ALL = [(cut.BPF_RET_K, 0, 0, 0)]


class Proxy:
    """Forwards to a port; the mode applies to open and new connections.

    ok: forwards. slow: delays each block of data by 0.15 s. silent: forwards
    nothing. one-way: forwards to the server only. reset: resets connections.
    link: as silent, and what clients send isn't acknowledged. Clients may also be
    cut off by their address, see cut.py.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "ok"
        self.writers = set()
        self.port = 0
        self.cut = cut.Cut()
        self.silenced = []  # sockets that drop what clients send
        self.held = []  # (begin, end) of the times in which data waited here

    async def start(self):
        server = await asyncio.start_server(self.handle_connection,
                                            "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.cut.listener = server
        return self

    async def has_target(self):
        """True if the target takes connections."""
        try:
            _, writer = await asyncio.open_connection("127.0.0.1",
                                                      self.target_port)
        except OSError:
            return False
        writer.close()
        return True

    def set_mode(self, mode):
        self.mode = mode
        for sock in self.silenced:
            if sock.fileno() >= 0:
                cut.detach_filter(sock)
        self.silenced = []
        if mode == "link":
            for sock in [*self.cut.listener.sockets,
                         *(writer.get_extra_info("socket")
                           for writer in self.cut.writers)]:
                self.silence(sock)
        if mode == "reset":
            for writer in list(self.writers):
                self.reset(writer)

    def silence(self, sock):
        if sock is not None and sock.fileno() >= 0:
            cut.attach_filter(sock, DROP_ALL)
            self.silenced.append(sock)

    @staticmethod
    def reset(writer):
        sock = writer.get_extra_info("socket")
        # A connection that has just been closed has no descriptor left to
        # set an option on.
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def handle_connection(self, reader, writer):
        self.writers.add(writer)
        upstream = None
        try:
            if self.mode == "reset":
                self.reset(writer)
                return
            if not self.cut.admit(writer):
                return
            if self.mode == "link":
                self.silence(writer.get_extra_info("socket"))
            upstream_reader, upstream = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
            self.writers.add(upstream)
            await asyncio.gather(self.forward(reader, upstream, True),
                                 self.forward(upstream_reader, writer, False))
        except OSError:
            pass
        finally:
            await self.wait_for_link(writer)
            for connection in (writer, upstream):
                if connection is not None:
                    self.writers.discard(connection)
                    connection.close()

    async def forward(self, reader, writer, to_server):
        while data := await reader.read(65536):
            begin = time.monotonic()
            while self.mode in ("silent", "link") or (
                    self.mode == "one-way" and not to_server):
                await asyncio.sleep(0.05)
            if self.mode == "slow":
                await asyncio.sleep(0.15)
            if to_server and time.monotonic() > begin + HELD_S:
                self.held.append((begin, time.monotonic()))
            writer.write(data)
            await writer.drain()
        await self.wait_for_link(writer)
        writer.close()

    async def wait_for_link(self, writer):
        """The end of a connection doesn't pass a link that is gone either."""
        while self.mode == "link" or writer in self.cut.held:
            await asyncio.sleep(0.05)
