"""Just enough HTTP/1.1 for the stand-ins of the soak: heads, bodies with a length, and chunks."""

import asyncio

MAX_HEAD_BYTES = 64 * 1024


class Message:
    """A request or response: the words of its first line, its fields in lower case, and its body."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_message(reader):
    """Reads one message. None when the connection ends before it begins; IncompleteReadError when it breaks off."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as failure:
        if not failure.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), fields)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        message.body = await read_chunks(reader)
    elif "content-length" in fields:
        message.body = await reader.readexactly(int(fields["content-length"]))
    elif lines[0].startswith("HTTP/") and int(message.first[1]) not in (204, 304):
        message.body = await reader.read()
    return message


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


def response(status, body=b"", fields=None):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method, target, host, fields=None, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection so that its peer sees a reset."""
    writer.transport.abort()
