"""A relay on loopback that delays, resets, cuts one way or silences the connections that pass through it."""

import asyncio

from . import wire

CHUNK_BYTES = 64 * 1024
STALL_S = 0.05


class Relay:
    """Listens on one address and passes connections on to another one."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.links = []
        self.delay_s = 0.0
        # Directions in which nothing passes: forth, back.
        self.stalled = set()
        self.refuses = False
        self.server = None

    async def start(self):
        host, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, reader, writer):
        if self.refuses:
            return wire.reset(writer)
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return wire.reset(writer)
        link = {"writers": (writer, far_writer), "silent": False}
        self.links.append(link)
        try:
            await asyncio.gather(self.pump(link, reader, far_writer, "forth"),
                                 self.pump(link, far_reader, writer, "back"))
        finally:
            self.links.remove(link)
            writer.close()
            far_writer.close()

    async def pump(self, link, reader, writer, direction):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.stalled or link["silent"]:
                    await asyncio.sleep(STALL_S)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            wire.reset(writer)

    def reset_all(self):
        for link in list(self.links):
            for writer in link["writers"]:
                wire.reset(writer)

    def silence_all(self):
        """Open connections go silent for good; new ones work."""
        for link in list(self.links):
            link["silent"] = True
