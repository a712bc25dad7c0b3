from __future__ import annotations

import unittest
from random import Random

from rattanwing.util.blocks import BLOCK_BYTES, BlockBuffer


class BlockBufferTests(unittest.TestCase):
    def test_bytes_come_out_as_they_went_in(self):
        random = Random(20261207)
        data = random.randbytes(40 * BLOCK_BYTES)
        buffer, added, taken = BlockBuffer(), 0, b""
        while len(taken) < len(data):
            size = random.choice((1, 7, 600, BLOCK_BYTES, 3 * BLOCK_BYTES))
            buffer.add(data[added : added + size])
            added = min(len(data), added + size)
            if random.random() < 0.4 or added == len(data):
                taken += buffer.take(random.randint(0, buffer.size))
            self.assertEqual(buffer.size, added - len(taken))
        self.assertEqual(taken, data)
        self.assertEqual(buffer.blocks, [])

    def test_small_pieces_share_blocks(self):
        buffer = BlockBuffer()
        for _ in range(10 * BLOCK_BYTES):
            buffer.add(b"x")
        self.assertEqual(len(buffer.blocks), 10)
