#!/usr/bin/env python3
"""A caller on one connection, for scripted tests.

usage: caller.py ADDRESS ACTION...

Actions, in order:
  head:PATH[:ID[:N]]  sends the head of a request: GET, or POST of N bytes
  part:PATH:ID        sends the first half of the head of a GET
  rest                sends the other half
  body:N              sends N bytes
  sleep:S             waits S seconds
  touch:FILE          creates the file
  await:FILE          waits until the file exists
  signal:NAME:PID     sends a signal
  read                reads a response; prints its status, "run" of a refusal,
                      and "close" if it announces the close
  end                 waits for the end of the connection; prints how it ended
  left                prints the bytes that come within 0.3 s, "none" if none do
  begin               reads the head of a response; prints its status, and "close"
                      if it announces the close
  take:N              reads N bytes of the response that has begun
  finish              reads the rest of a chunked response and the end of the
                      connection; prints whether it is whole and how it ended
  unread              prints whether the other side has read all that was sent
  leave               closes the connection
  shut                closes the sending side

DEADLINE in the environment is the time limit in ms of all requests, RCVBUF the size
of the receive buffer.
"""

import os
import re
import signal
import socket
import sys
import time

TIMEOUT_S = 10
POLL_S = 0.01


class Caller:
    def __init__(self, address):
        host, port = address.split(":")
        self.sock = socket.socket()
        if "RCVBUF" in os.environ:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                 int(os.environ["RCVBUF"]))
        self.sock.connect((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(TIMEOUT_S)
        self.data = b""
        self.rest_of_head = b""

    @staticmethod
    def text(path, request_id="r", n_bytes=None):
        post = n_bytes is not None
        return (f"{'POST' if post else 'GET'} {path} HTTP/1.1\r\n"
                "Host: h.example\r\n"
                f"Goldcrestfield-Request-Id: {request_id}\r\n"
                "Goldcrestfield-Deadline-Ms: "
                f"{os.environ.get('DEADLINE', '5000')}\r\n"
                "Authorization: Token key-1\r\n"
                + (f"Content-Length: {n_bytes}\r\n" if post else "")
                + "\r\n").encode()

    def head(self, *args):
        self.sock.sendall(self.text(*args))

    def part(self, *args):
        text = self.text(*args)
        half = len(text) // 2
        self.rest_of_head = text[half:]
        self.sock.sendall(text[:half])

    def rest(self):
        self.sock.sendall(self.rest_of_head)

    def body(self, n_bytes):
        self.sock.sendall(b"x" * int(n_bytes))

    @staticmethod
    def sleep(seconds):
        time.sleep(float(seconds))

    @staticmethod
    def touch(path):
        with open(path, "w", encoding="ascii"):
            pass

    @staticmethod
    def wait(path):
        end = time.monotonic() + TIMEOUT_S
        while not os.path.exists(path):
            assert time.monotonic() < end, f"no {path}"
            time.sleep(POLL_S)

    @staticmethod
    def signal(name, pid):
        os.kill(int(pid), getattr(signal, "SIG" + name))

    def receive(self):
        part = self.sock.recv(65536)
        self.data += part
        return part

    def read(self):
        try:
            while b"\r\n\r\n" not in self.data:
                if not self.receive():
                    print("closed" + (" with part" if self.data else ""))
                    return
            head, _, body = self.data.partition(b"\r\n\r\n")
            length = int(re.search(rb"(?i)content-length: *(\d+)", head)[1])
            while len(body) < length:
                if not self.receive():
                    print("closed with part")
                    return
                body = self.data.partition(b"\r\n\r\n")[2]
        except ConnectionError:
            print("reset")
            return
        except socket.timeout:
            print("nothing")
            return
        self.data = body[length:]
        run = re.search(rb'"run":"(\w+)"', body[:length])
        print(head.split()[1].decode(), *([run[1].decode()] if run else []),
              *(["close"] if re.search(rb"(?i)connection: close", head)
                else []))

    def begin(self):
        while b"\r\n\r\n" not in self.data:
            assert self.receive(), "closed before the head"
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        print(head.split()[1].decode(),
              *(["close"] if re.search(rb"(?i)connection: close", head)
                else []))

    def take(self, n_bytes):
        n_bytes = int(n_bytes)
        while n_bytes > 0:
            part = self.sock.recv(min(n_bytes, 65536))
            assert part, "closed early"
            n_bytes -= len(part)
            self.data = (self.data + part)[-64:]

    def finish(self):
        how = "closed"
        try:
            while self.receive():
                self.data = self.data[-64:]
        except ConnectionError:
            how = "reset"
        except socket.timeout:
            how = "open"
        print("whole" if self.data.endswith(b"\r\n0\r\n\r\n") else "part", how)

    def unread(self):
        """The receive queue of the other end of the connection."""
        ends = [f"{port:04X}" for port in (self.sock.getpeername()[1],
                                           self.sock.getsockname()[1])]
        with open("/proc/net/tcp", encoding="ascii") as f:
            queues = [fields[4] for fields in map(str.split, f)
                      if [end[-4:] for end in fields[1:3]] == ends]
        print("unread" if int(queues[0].split(":")[1], 16) > 0 else "read")

    def leave(self):
        self.sock.close()

    def shut(self):
        self.sock.shutdown(socket.SHUT_WR)

    def end(self):
        try:
            while self.receive():
                pass
            print("closed" + (f" after {len(self.data)} bytes"
                              if self.data else ""))
        except ConnectionError:
            print("reset")
        except socket.timeout:
            print("open")

    def left(self):
        self.sock.settimeout(0.3)
        try:
            while self.receive():
                pass
        except (socket.timeout, ConnectionError):
            pass
        self.sock.settimeout(TIMEOUT_S)
        print(self.data if self.data else "none")


def main():
    caller = Caller(sys.argv[1])
    for action in sys.argv[2:]:
        name, *args = action.split(":")
        getattr(caller, "wait" if name == "await" else name)(*args)
        sys.stdout.flush()


main()
