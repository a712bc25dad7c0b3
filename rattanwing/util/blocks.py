"""Bytes that arrive in pieces and are kept in blocks until they are complete.

Load: many incomplete bodies or messages at a time. A single buffer for each that grows
leaves gaps in the heap which no other can use; blocks take the place of freed ones.
Small pieces share a block, as each would cost many times its own size.
"""

from __future__ import annotations

BLOCK_BYTES = 16 * 1024
"""Size up to which pieces share a block; a larger piece has a block of its own."""


class BlockBuffer:
    """A queue of bytes.

    :param blocks: the bytes, in order.
    :param position: start of the bytes in the first block that were not taken yet.
    :param size: number of bytes that were not taken yet.
    """

    __slots__ = ("blocks", "position", "size")

    def __init__(self) -> None:
        self.blocks: list[bytearray] = []
        self.position = 0
        self.size = 0

    def add(self, data: bytes) -> None:
        """Add bytes at the end."""
        if not data:
            return
        self.size += len(data)
        if self.blocks and len(self.blocks[-1]) + len(data) <= BLOCK_BYTES:
            self.blocks[-1] += data
        else:
            self.blocks.append(bytearray(data))

    def take(self, size: int) -> bytes:
        """Remove and return the first ``size`` bytes, of at least that many."""
        if not size:
            return b""
        if len(self.blocks[0]) - self.position < size:
            self.blocks = [bytearray().join(self.blocks)]
        first = self.blocks[0]
        end = self.position + size
        data = bytes(memoryview(first)[self.position : end])
        self.size -= size
        self.position = end
        if end == len(first):
            del self.blocks[0]
            self.position = 0
        return data

    def clear(self) -> None:
        """Remove all bytes."""
        self.blocks.clear()
        self.position = 0
        self.size = 0
