"""Links on loopback that can be harmed: a proxy a link.

Modes: `pass`; `delay` (a pause each way); `reset` (connections are reset and
none is taken); `cut_up` and `cut_down` (bytes to, or from, the target are held
until the link heals); `silence` (both are held).
"""

import asyncio

DELAY = 0.15
HELD = {"up": ("cut_up", "silence"), "down": ("cut_down", "silence")}


class Link:
    """One listening address that leads to one target."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.mode = "pass"
        self._healed = asyncio.Event()
        self._healed.set()
        self._server = None
        self._writers = set()
        self._partitioned = set()  # endpoints of callers that get silence
        self._released = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)

    def harm(self, mode):
        self.mode = mode
        self._healed.clear()
        if mode == "reset":
            for writer in self._writers:
                writer.transport.abort()

    def heal(self):
        self.mode = "pass"
        self._healed.set()

    def partition(self, callers, mode):
        """Resets or silences the open connections of some callers."""
        if mode == "silence":
            self._partitioned |= callers
            return
        for writer in self._writers:
            if writer.get_extra_info("peername") in callers:
                writer.transport.abort()

    def release(self):
        """Ends the silence towards the callers of all partitions."""
        self._partitioned.clear()
        self._released.set()
        self._released = asyncio.Event()

    def refuse(self):
        """Refuses connections until it is started again, as a port does
        whose process has ended."""
        self.stop()

    def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        other = None
        try:
            if self.mode == "reset":
                writer.transport.abort()
                return
            await self._wait("up", None)
            target_reader, other = await asyncio.open_connection(*self.target)
            self._writers.add(other)
            caller = writer.get_extra_info("peername")
            await asyncio.gather(
                self._pump("up", reader, other, caller),
                self._pump("down", target_reader, writer, caller))
        except OSError:
            writer.transport.abort()
        finally:
            for end in (writer, other):
                if end is not None:
                    end.close()
                    self._writers.discard(end)

    async def _wait(self, way, caller):
        while self.mode in HELD[way]:
            await self._healed.wait()
        while caller in self._partitioned:
            await self._released.wait()

    async def _pump(self, way, reader, writer, caller):
        """Passes bytes on until one end closes; a reset is passed on too."""
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(DELAY)
                await self._wait(way, caller)
                writer.write(data)
                await writer.drain()
            await self._wait(way, caller)
            # An end in order; whoever half-closed waits for nothing more.
            writer.close()
        except OSError:
            await self._wait(way, caller)
            writer.transport.abort()
