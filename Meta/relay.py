"""Relays connections of entry daemons on loopback, so that a benchmark can cut some of them off."""

import asyncio
import contextlib
import os
import socket
import struct
import threading

STALL_INTERVAL_S = 0.02
CHUNK_BYTES = 64 * 1024
# A look at the sockets of 14 daemons takes tens of milliseconds.
LOOK_INTERVAL_S = 0.25
# Of <linux/netlink.h>, <linux/sock_diag.h> and <linux/inet_diag.h>, which Python does not define.
NETLINK_SOCK_DIAG = 4
NETLINK_HEADER_BYTES = 16
NLM_F_REQUEST = 1
SOCK_DIAG_BY_FAMILY = 20
ALL_STATES = 0xffffffff
NO_COOKIE = (0xffffffff, 0xffffffff)
INODE_OFFSET = 84


def sockets_of(pid):
    """Inodes of the open sockets of a process."""
    with contextlib.suppress(OSError):
        for fd in os.listdir(f"/proc/{pid}/fd"):
            # The process may have closed this descriptor in the meantime, but still has the others.
            with contextlib.suppress(OSError):
                target = os.readlink(f"/proc/{pid}/fd/{fd}")
                if target.startswith("socket:["):
                    yield int(target[8:-1])


class SocketLookUp:
    """Asks the kernel for the inodes of TCP sockets (sock_diag(7)). Its table in /proc/net/tcp holds thousands of ended
    connections after a while, and reading it stops the relay for too long."""

    def __init__(self):
        self.netlink = socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG)

    def inode(self, host, local_port, remote_port):
        """Inode of the socket of an open connection; None when there is none."""
        address = socket.inet_aton(host)
        ident = struct.pack("!HH16s16s", local_port, remote_port, address, address)
        query = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, ALL_STATES) + ident
        query += struct.pack("=III", 0, *NO_COOKIE)
        header = struct.pack("=IHHII", NETLINK_HEADER_BYTES + len(query), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
        self.netlink.send(header + query)
        reply = self.netlink.recv(4096)
        if struct.unpack_from("=H", reply, 4)[0] != SOCK_DIAG_BY_FAMILY:
            return None
        return struct.unpack_from("=I", reply, INODE_OFFSET)[0]


class Link:
    """One relayed connection."""

    def __init__(self, writer, target):
        self.ports = (writer.get_extra_info("peername")[1], writer.get_extra_info("sockname")[1])
        self.target = target
        self.writer = writer
        # Name of the process that opened it; looked up only while something is cut off.
        self.source = None
        self.is_dropped = False


class Cut:
    """Two groups of processes that can't reach each other."""

    def __init__(self, some, others, resets_new):
        self.some = frozenset(some)
        self.others = frozenset(others)
        self.resets_new = resets_new

    def concerns(self, name):
        return name in self.some or name in self.others

    def parts(self, link):
        return (link.source in self.some and link.target in self.others
                or link.source in self.others and link.target in self.some)


class Relay:
    """Relays from the published address of each process to the address on which it listens.

    While two processes are cut off from each other, bytes between them wait, as packets that are sent again do. New
    connections wait as well, or are reset at once.
    """

    def __init__(self, host, pids):
        self.host = host
        # Called for the process ids by name, since replacements have new ones.
        self.pids = pids
        self.cuts = []
        self.links = set()
        self.sockets = SocketLookUp()
        self.looked_at = 0
        self.lock = asyncio.Lock()
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, name, port, listen_port):
        async def handle(reader, writer):
            await self.relay(name, listen_port, reader, writer)
        self.call(asyncio.start_server(handle, self.host, port))

    def cut(self, some, others, resets_new=False):
        """Cuts two groups of processes off from each other. On return no more bytes pass."""
        cut = Cut(some, others, resets_new)
        self.call(self.begin(cut))
        return cut

    def heal(self, cut):
        self.cuts.remove(cut)

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    async def begin(self, cut):
        # From here on new connections are looked up by themselves.
        self.cuts.append(cut)
        await self.find_sources()

    async def find_sources(self):
        """Finds the processes that opened the connections that are relayed now."""
        asked_at = self.loop.time()
        async with self.lock:
            # One look at the processes serves all connections that came before it.
            if self.looked_at >= asked_at:
                return
            await asyncio.sleep(max(STALL_INTERVAL_S, self.looked_at + LOOK_INTERVAL_S - asked_at))
            self.looked_at = self.loop.time()
            unknown = [link for link in self.links if not link.source]
            names = {}
            for name, pid in self.pids().items():
                names.update((inode, name) for inode in sockets_of(pid))
                # Other connections go on meanwhile.
                await asyncio.sleep(0)
            for link in unknown:
                link.source = names.get(self.sockets.inode(self.host, *link.ports))
                # Its opener has closed it. What it has sent before might lead across the cut.
                if not link.source:
                    link.is_dropped = True
                    link.writer.transport.abort()

    def cuts_of(self, link):
        return [it for it in list(self.cuts) if it.parts(link)]

    async def relay(self, target, listen_port, reader, writer):
        link = Link(writer, target)
        self.links.add(link)
        try:
            if any(it.concerns(target) for it in self.cuts):
                await self.find_sources()
            while cuts := self.cuts_of(link):
                if any(it.resets_new for it in cuts):
                    writer.transport.abort()
                    return
                await asyncio.sleep(STALL_INTERVAL_S)
            if link.is_dropped:
                return
            back_reader, back_writer = await asyncio.open_connection(self.host, listen_port)
            await asyncio.gather(self.pump(link, reader, back_writer), self.pump(link, back_reader, writer))
        except OSError:
            pass
        finally:
            self.links.discard(link)
            writer.close()

    async def pump(self, link, reader, writer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                while self.cuts_of(link):
                    await asyncio.sleep(STALL_INTERVAL_S)
                if link.is_dropped:
                    return
                writer.write(chunk)
                await writer.drain()
        finally:
            writer.close()
