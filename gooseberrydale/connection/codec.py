"""Codec of the messages between the system's own processes.

A message is a frozen dataclass registered with :func:`message`.  It is encoded as
MessagePack: an array of the message's name and its fields.  The fields are a map, or an
array if the message is a ``msgspec.Struct`` with ``array_like``.  Unknown fields are
ignored and missing ones take their defaults: processes of adjacent releases can
exchange messages during a rolling upgrade.
"""

from __future__ import annotations

import dataclasses
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

_TYPES: dict[str, type[Any]] = {}
_encoder = msgspec.msgpack.Encoder()
_envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}


class CodecError(ValueError):
    """The bytes are not an encoded message of a registered type."""


def message(cls: type[T]) -> type[T]:
    """Register a message class; its class name becomes part of the protocol."""
    if not (dataclasses.is_dataclass(cls) or issubclass(cls, msgspec.Struct)):
        raise TypeError(
            f"{cls.__name__} is not a dataclass; apply @dataclass before @message"
        )
    if cls.__name__ in _TYPES:
        raise TypeError(
            f"message name {cls.__name__} is already registered; rename the class"
        )
    _TYPES[cls.__name__] = cls
    return cls


def encode(msg: Any) -> bytes:
    """Return the encoded form of a registered message."""
    return _encoder.encode((type(msg).__name__, msg))


def decode(data: bytes) -> Any:
    """Return the message in ``data``; raise :class:`CodecError` if it is invalid."""
    try:
        name, raw = _envelope.decode(data)
        return _decoder(name).decode(raw)
    except (msgspec.MsgspecError, KeyError) as exc:
        raise CodecError(f"not a message of this protocol: {exc}") from exc


def _decoder(name: str) -> msgspec.msgpack.Decoder[Any]:
    if name not in _decoders:
        _decoders[name] = msgspec.msgpack.Decoder(_TYPES[name])
    return _decoders[name]
