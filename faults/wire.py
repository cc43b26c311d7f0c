"""The platform's protocol as its clients and servers speak it, written apart from the proxy's own code."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass

HEAD = struct.Struct(">IBI")  # length of all that follows it, type, stream
REQUEST, ANSWER, CANCEL, ASK_READY, READY, CLOSING = 1, 2, 3, 4, 5, 6
YES = 1


@dataclass(frozen=True, slots=True)
class Frame:
    kind: int
    stream: int
    payload: bytes


class WireError(ValueError):
    """Bytes that do not follow the protocol."""


def encode_fields(fields: Mapping[str, str]) -> bytes:
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        data = value.encode()
        parts.append(bytes([len(name)]) + name.encode() + struct.pack(">H", len(data)) + data)
    return b"".join(parts)


def decode_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """The fields, and what follows them."""
    fields: dict[str, str] = {}
    at = 1
    for _ in range(payload[0]):
        name_end = at + 1 + payload[at]
        (size,) = struct.unpack_from(">H", payload, name_end)
        fields[payload[at + 1 : name_end].decode()] = payload[name_end + 2 : name_end + 2 + size].decode()
        at = name_end + 2 + size
    return fields, payload[at:]


def encode_frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return HEAD.pack(5 + len(payload), kind, stream) + payload


class FrameReader:
    """Frames out of a stream of bytes."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        self._data += data
        frames = []
        while len(self._data) >= HEAD.size:
            length, kind, stream = HEAD.unpack_from(self._data)
            if len(self._data) < 4 + length:
                break
            frames.append(Frame(kind, stream, bytes(self._data[HEAD.size : 4 + length])))
            del self._data[: 4 + length]
        return frames


def decode_answer(payload: bytes) -> tuple[int, dict[str, str], bytes]:
    """Code, fields and body of an answer; WireError if it cannot be read."""
    try:
        fields, body = decode_fields(payload[1:])
        return payload[0], fields, body
    except (IndexError, struct.error, UnicodeDecodeError) as e:
        raise WireError(f"an answer that cannot be read: {e}") from None


def encode_answer_line(ref: str, word: str, fields: str = "-", body: bytes = b"") -> bytes:
    return f"{ref} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n"


def decode_request_fields(text: str) -> dict[str, str]:
    if text == "-":
        return {}
    pairs = (pair.partition("=") for pair in text.split(","))
    return {name: value for name, _, value in pairs}
