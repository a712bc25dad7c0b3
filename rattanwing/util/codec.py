"""MessagePack codec of a closed set of messages."""

from __future__ import annotations

from typing import Any

import msgspec

from rattanwing.errors import ProtocolError

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class MessageCodec:
    """Encodes and decodes the messages of one union of tagged classes."""

    __slots__ = ("encoder", "decoder")

    def __init__(self, union: Any) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(union)

    def encode(self, message: msgspec.Struct) -> bytes:
        """Return the wire form of a message."""
        return self.encoder.encode(message)

    def decode(self, data: bytes) -> Any:
        """Return the message that ``data`` stands for.

        :raises ProtocolError: when it is oversized or no known message.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"message of {len(data)} bytes is over the limit")
        try:
            return self.decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ProtocolError(f"message does not decode: {error}") from error
