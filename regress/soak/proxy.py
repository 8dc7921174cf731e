"""A loopback TCP proxy that delays, silences, cuts or resets connections."""

import asyncio
import socket
import struct


class Proxy:
    """Forwards to a port; `mode` holds for open and new connections."""

    def __init__(self, target):
        self.target = target
        self.mode = "ok"  # ok, slow, silent, one-way, reset
        self.writers = set()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def set(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                self.reset(writer)

    @staticmethod
    def reset(writer):
        sock = writer.get_extra_info("socket")
        # A connection that has just been closed has no descriptor left.
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        up = None
        try:
            if self.mode == "reset":
                self.reset(writer)
                return
            up_reader, up = await asyncio.open_connection("127.0.0.1",
                                                          self.target)
            self.writers.add(up)
            await asyncio.gather(self.pump(reader, up, True),
                                 self.pump(up_reader, writer, False))
        except OSError:
            pass
        finally:
            for end in (writer, up):
                if end is not None:
                    self.writers.discard(end)
                    end.close()

    async def pump(self, reader, writer, forward):
        while data := await reader.read(65536):
            while self.mode == "silent" or (self.mode == "one-way" and
                                            not forward):
                await asyncio.sleep(0.05)
            if self.mode == "slow":
                await asyncio.sleep(0.15)
            writer.write(data)
            await writer.drain()
        writer.close()
