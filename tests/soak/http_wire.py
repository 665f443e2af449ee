"""Reading and writing HTTP/1.1 messages on asyncio streams.

Only what the stand-ins and the soak's clients need; a message that breaks off
or is malformed raises `Broken`.
"""

import asyncio
from dataclasses import dataclass, field

LARGEST_HEAD = 65536


class HalfEvent(Exception):
    """A stream that ended as complete within an event."""


class Broken(Exception):
    """The connection ended, or held bytes that are no message."""


@dataclass
class Message:
    """One head, with its body once that is read."""

    start: str
    fields: dict = field(default_factory=dict)  # names in lower case
    body: bytes = b""

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def method(self):
        return self.start.split(" ")[0]


async def read_head(reader):
    """Reads a head; returns None if the connection ends before it begins."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Broken("cut off within a head") from error
    except (asyncio.LimitOverrunError, OSError) as error:
        raise Broken(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            message.fields[name.strip().lower()] = value.strip()
    if not message.start or " " not in message.start:
        raise Broken("no start line: " + message.start[:60])
    return message


async def read_chunk(reader):
    """Reads one chunk; the last one is empty."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise Broken("cut off within chunks") from error
    return data[:-2]


async def read_events(reader):
    """Yields the lines of each event of a chunked stream, by name."""
    rest = b""
    while chunk := await read_chunk(reader):
        rest += chunk
        while b"\n\n" in rest:
            event, _, rest = rest.partition(b"\n\n")
            yield dict(line.split(": ", 1)
                       for line in event.decode().split("\n"))
    if rest:
        raise HalfEvent(repr(rest[:60]))


async def read_body(reader, message):
    """Reads the whole body of a message into it."""
    if message.fields.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            message.body += chunk
        return
    length = int(message.fields.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Broken("cut off within a body") from error


def write_message(start, fields, body=b""):
    """Returns the bytes of a message whose body has a stated length."""
    lines = [start] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address, start, body=b"", time=2.0):
    """Makes one call on a connection of its own; returns the answer."""
    host, port = address
    async with asyncio.timeout(time):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                write_message(start + " HTTP/1.1", {"Host": host}, body))
            answer = await read_head(reader)
            if answer is None:
                raise Broken("no answer")
            await read_body(reader, answer)
            return answer
        finally:
            writer.close()
