#!/usr/bin/env python3
"""A plain backend server that sends each response a second time on the same
connection, just before the response to the next request.

usage: late_copy.py PORTS_FILE
"""

import socketserver
import sys


class Handler(socketserver.StreamRequestHandler):
    def handle(self):
        copy = b""
        while True:
            line = self.rfile.readline().decode("latin-1")
            if not line:
                return
            length = 0
            while (header := self.rfile.readline().decode("latin-1").strip()):
                name, _, value = header.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            self.rfile.read(length)
            body = f"total for {line.split()[1]}\n".encode()
            response = (b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                        b"Content-Length: %d\r\n\r\n" % len(body)) + body
            self.wfile.write(copy + response)
            copy = response


class Server(socketserver.ThreadingTCPServer):
    daemon_threads = True


with Server(("127.0.0.1", 0), Handler) as server:
    with open(sys.argv[1], "w", encoding="ascii") as f:
        f.write(f"{server.server_address[1]}\n")
    server.serve_forever()
