"""Stand-in of the platform's store: keys with revisions, pages, watches, a bounded history, and faults."""

import asyncio
import base64
import functools
import json
import time
import urllib.parse

from . import wire

PAGE_ITEMS = 50
HANG_S = 3600
# Copies of the store, of which one may be restored, are kept for so long.
COPIES_S = 10


class Store:
    def __init__(self, address):
        # Each VM calls the store at a port of its own, which tells who calls.
        self.host, port = address.split(":")
        self.first_port = int(port)
        self.items = {}
        self.history = []
        self.revision = 1
        self.forgotten = 0
        self.changed = asyncio.Event()
        # Fault for all callers, or for the VMs whose names are in the set: busy, many, reset, silent, slow.
        self.fault = None
        self.refused = None
        # Names of the VMs whose calls get no answer, because their path to the store is cut.
        self.cut = set()
        self.disturbed_until = 0.0
        self.calls = 0
        # How often the store was restored. None: a platform without eras, whose answers don't have the header.
        self.era = None
        # Copies after each change: time, items, history, revision, forgotten.
        self.copies = []

    def address_for(self, index):
        return f"{self.host}:{self.first_port + index}"

    async def start(self, vms):
        for index, vm in enumerate(vms):
            await asyncio.start_server(functools.partial(self.serve, vm.name), self.host, self.first_port + index)

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (json.dumps(value).encode() if not isinstance(value, bytes) else value, self.revision)
        self.record({"key": key, "value": base64.b64encode(self.items[key][0]).decode(), "revision": self.revision,
                     "create-revision": self.revision, "lease": 0})
        return time.monotonic()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "deleted": True})
        return time.monotonic()

    def record(self, event):
        self.history.append(event)
        if self.era is not None:
            now = time.monotonic()
            self.copies = [it for it in self.copies if it[0] > now - COPIES_S]
            self.copies.append((now, dict(self.items), list(self.history), self.revision, self.forgotten))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        self.history.clear()
        self.forgotten = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, at):
        """Goes back to the copy of a time, or the oldest one. Returns the keys whose values differ."""
        before = self.items
        if not self.copies:
            return []
        copy = [it for it in self.copies if it[0] <= at][-1:] or self.copies[:1]
        _, items, history, self.revision, self.forgotten = copy[0]
        self.items, self.history = dict(items), list(history)
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return [key for key in {*before, *items} if before.get(key, (None,))[0] != items.get(key, (None,))[0]]

    def response(self, status, body=b""):
        return wire.response(status, body, {} if self.era is None else {"Store-Era": self.era})

    def is_stable(self, now, settle_s):
        return self.fault is None and now - self.disturbed_until > settle_s

    def set_fault(self, fault, refused=None):
        if self.fault is not None:
            self.disturbed_until = time.monotonic()
        self.fault, self.refused = fault, refused

    async def serve(self, caller, reader, writer):
        try:
            while (message := await wire.read_message(reader)) is not None:
                self.calls += 1
                answer = await self.answer(message, caller)
                if caller in self.cut:
                    await asyncio.sleep(HANG_S)
                if answer is None:
                    return wire.reset(writer)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, message, caller):
        if self.fault and (self.refused is None or caller in self.refused):
            if self.fault == "silent":
                await asyncio.sleep(HANG_S)
            if self.fault == "reset":
                return None
            if self.fault == "slow":
                await asyncio.sleep(0.3)
            else:
                return self.response(503 if self.fault == "busy" else 429)
        path, _, text = message.first[1].partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/v1/kv-range":
            return self.page(query)
        if path == "/v1/kv-watch":
            return await self.watch(query)
        return self.response(404)

    def page(self, query):
        keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
        items = [{"key": k, "value": base64.b64encode(self.items[k][0]).decode(), "revision": self.items[k][1],
                  "create-revision": self.items[k][1], "lease": 0} for k in keys[:PAGE_ITEMS]]
        body = {"items": items, "has-more": len(keys) > PAGE_ITEMS, "as-of": self.revision}
        return self.response(200, json.dumps(body).encode())

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self.forgotten or after > self.revision:
                return self.response(410)
            events = [e for e in self.history if e["revision"] > after]
            left = end - time.monotonic()
            if events or left <= 0:
                body = {"events": events, "as-of": self.revision}
                return self.response(200, json.dumps(body).encode())
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
