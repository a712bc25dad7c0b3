"""Decoding of bytes that other writers sent or stored.

Whatever the bytes are, decoding raises no other error than :class:`MalformedError` or,
for messages, :class:`ProtocolError`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from rattanwing.errors import MalformedError, ProtocolError

MAX_MESSAGE_BYTES = 4 * 1024 * 1024

MAX_DETAIL_CHARS = 200
"""Most characters of an error's text, which may repeat a value in full."""

UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""The errors of msgspec's decoders; the last is that of deep nesting."""


def decode(decoder: msgspec.json.Decoder | msgspec.msgpack.Decoder, data: bytes) -> Any:
    """Return the decoded value.

    :raises MalformedError: if ``data`` is malformed, nested too deeply or not of the
        decoder's type.
    """
    try:
        return decoder.decode(data)
    except UNREADABLE as error:
        raise MalformedError(str(error)[:MAX_DETAIL_CHARS]) from error


def decode_json(data: bytes, kind: Any = Any) -> Any:
    """Return the decoded JSON value.

    :param kind: any type that msgspec decodes.
    :raises MalformedError: if ``data`` is not JSON or not of that type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except UNREADABLE as error:
        raise MalformedError(str(error)[:MAX_DETAIL_CHARS]) from error


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
            return decode(self.decoder, data)
        except MalformedError as error:
            raise ProtocolError(f"message does not decode: {error}") from error
