"""Silence of the stand-in server's host: it sends nothing and drops what arrives,
acknowledgements included, and goes on later where it stopped."""

import ctypes
import signal
import socket
import struct
import time

# The option's number on Linux, which the socket module doesn't name.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
BPF_RET_K = 0x06
# Time in which the answer to the command is sent.
DELAY_S = 0.02


def set_filter(sock):
    """Drops all segments that arrive at the socket."""
    code = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RET_K, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def be_silent(sockets, ms):
    """Blocks the event loop, so that nothing is sent meanwhile. 0 ms: for good."""
    sockets = [sock for sock in sockets if sock and sock.fileno() >= 0]
    for sock in sockets:
        set_filter(sock)
    if ms == 0:
        signal.pause()
    time.sleep(ms / 1000)
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
