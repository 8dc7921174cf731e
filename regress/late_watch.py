"""Relays connections to the store and holds its answers to watches for a time.

usage: late_watch.py PORT_FILE ADDRESS DELAY_S FLAG_FILE

Answers are held while FLAG_FILE exists.
"""

import asyncio
import os
import sys


async def carry(reader, writer, is_answer, watch):
    try:
        while data := await reader.read(65536):
            if not is_answer:
                watch[0] = b"/v1/kv-watch" in data
            elif watch[0] and os.path.exists(sys.argv[4]):
                await asyncio.sleep(float(sys.argv[3]))
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    writer.close()


async def accept(reader, writer):
    host, port = sys.argv[2].split(":")
    there = await asyncio.open_connection(host, int(port))
    watch = [False]
    await asyncio.gather(carry(reader, there[1], False, watch),
                         carry(there[0], writer, True, watch))


async def main():
    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    with open(sys.argv[1] + ".new", "w", encoding="ascii") as f:
        f.write(str(server.sockets[0].getsockname()[1]))
    os.rename(sys.argv[1] + ".new", sys.argv[1])
    await asyncio.sleep(3600)


asyncio.run(main())
