"""MessagePack codec for a fixed set of message classes."""

from __future__ import annotations

from typing import Any

import msgspec

from rattanwing.errors import ProtocolError

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class MessageCodec:
    """Encodes and decodes the messages of one union of tagged structs."""

    __slots__ = ("encoder", "decoder")

    def __init__(self, union: Any) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(union)

    def encode(self, message: msgspec.Struct) -> bytes:
        """Return the encoded message."""
        return self.encoder.encode(message)

    def decode(self, data: bytes) -> Any:
        """Return the decoded message.

        :raises ProtocolError: if ``data`` is too long or not a message of the union.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"message of {len(data)} bytes is over the limit")
        try:
            return self.decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ProtocolError(f"message does not decode: {error}") from error
