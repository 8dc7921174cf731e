"""Partitions a stand-in server from clients with given source addresses."""

import ctypes
import ipaddress
import socket
import struct
import weakref

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# Instructions of the socket filter: load a word, jump if equal, return.
BPF_LD_W_ABS = 0x20
BPF_JEQ_K = 0x15
BPF_RET_K = 0x06
SOURCE_OFFSET = 0xfff00000 + 12  # source address in the IP header
ACCEPT = 0xffffffff


def attach_filter(sock, instructions):
    code = b"".join(struct.pack("HBBI", *i) for i in instructions)
    code_buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HL", len(instructions),
                          ctypes.addressof(code_buffer))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def detach_filter(sock):
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


class Cut:
    """how: "hang" drops all segments both ways; "reset" resets open and new
    connections; "refuse-new" lets open ones live on and drops new ones; "mute"
    takes connections and bytes and never answers; "": none."""

    def __init__(self):
        self.sources = set()
        self.how = ""
        self.listener = None
        self.filtered = False
        self.writers = weakref.WeakSet()
        self.held = []  # writers whose bytes are dropped

    def admit(self, writer):
        """False: the connection has been reset."""
        self.writers.add(writer)
        if self.how == "reset" and self.concerns(writer):
            self.reset(writer)
            return False
        if self.how == "mute" and self.concerns(writer):
            self.mute(writer)
        return True

    def concerns(self, writer):
        peer = writer.get_extra_info("peername")
        return peer is not None and peer[0] in self.sources

    @staticmethod
    def reset(writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
        writer.transport.abort()

    def set(self, sources, how):
        self.end()
        self.sources = set(sources)
        self.how = how
        if how in ("hang", "refuse-new"):
            self.drop_new()
        for writer in list(self.writers):
            if not self.concerns(writer) or writer.transport.is_closing():
                continue
            if how == "hang":
                self.hold(writer)
            elif how == "reset":
                self.reset(writer)
            elif how == "mute":
                self.mute(writer)

    def drop_new(self):
        addresses = [int(ipaddress.ip_address(s)) for s in sorted(self.sources)]
        code = [(BPF_LD_W_ABS, 0, 0, SOURCE_OFFSET)]
        for i, address in enumerate(addresses):
            code.append((BPF_JEQ_K, len(addresses) - i, 0, address))
        code += [(BPF_RET_K, 0, 0, ACCEPT), (BPF_RET_K, 0, 0, 0)]
        for sock in self.listener.sockets:
            attach_filter(sock, code)
        self.filtered = True

    def hold(self, writer):
        attach_filter(writer.get_extra_info("socket"), [(BPF_RET_K, 0, 0, 0)])
        writer.write = lambda data: None
        self.held.append(writer)

    def mute(self, writer):
        """What arrives is acknowledged by the kernel and not read."""
        writer.transport.pause_reading()
        writer.write = lambda data: None
        self.held.append(writer)

    def end(self):
        if self.filtered:
            for sock in self.listener.sockets:
                detach_filter(sock)
        for writer in self.held:
            # Bytes are missing from what it would send from now on.
            if not writer.transport.is_closing():
                self.reset(writer)
        self.held = []
        self.filtered = False
        self.how = ""
