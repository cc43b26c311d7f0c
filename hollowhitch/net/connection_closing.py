"""When a client connection stops accepting, and when its write side is shut down; no I/O.

A connection is closed in two steps. The write side is shut down once every answer is written, no request is
open and no byte is unread. The socket is closed after that, once the client has had time to read and to close
its side.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from hollowhitch.lifecycle import ConnectionStage


class CloseReason(enum.Enum):
    """Why the proxy closed a client's connection; the values are metric labels."""

    IDLE = "idle"
    FRAME_TIMEOUT = "no whole frame in time"
    CLIENT_CLOSED = "closed by the client"
    INVALID_FRAME = "bytes that are no frame"
    CONNECTION_LIMIT = "no place"
    DRAIN = "drain"
    SHUTDOWN = "shutdown"
    FAULT = "fault"


@dataclass(frozen=True, slots=True)
class PendingInput:
    """What a client has sent that has no answer yet."""

    open_requests: int
    buffered_bytes: int  # of an incomplete frame
    unread_bytes: int  # in the socket
    is_broken: bool  # the client has sent an invalid frame: its further bytes are discarded

    @property
    def is_empty(self) -> bool:
        """Whether nothing that needs an answer is open, read in part or unread."""
        return not self.open_requests and (self.is_broken or not (self.buffered_bytes or self.unread_bytes))


class ConnectionClosing:
    """Progress of the close of one connection.

    A close that the lifecycle decided on can be undone until the write side is shut down, any other cannot.
    """

    def __init__(self) -> None:
        self.stage = ConnectionStage.SERVE  # as last decided by the process's lifecycle
        self.is_write_shut = False
        self.is_closed = False
        self._reason: CloseReason | None = None  # set by a close that cannot be undone

    @property
    def has_begun(self) -> bool:
        """Whether the write side will be shut down as soon as nothing is pending."""
        return self._reason is not None or self.stage is not ConnectionStage.SERVE

    def request(self, reason: CloseReason) -> bool:
        """Close the connection once nothing is pending; return whether that begins its close."""
        begins = not self.has_begun
        self._reason = self._reason or reason
        return begins

    def apply_stage(self, stage: ConnectionStage) -> bool:
        """Apply the lifecycle's decision; return whether it begins the connection's close."""
        begins = stage is not ConnectionStage.SERVE and not self.has_begun
        self.stage = stage
        return begins

    def may_shut_write_side(self, pending: PendingInput) -> bool:
        """Return whether the write side may be shut down now, if every answer is written."""
        return self.has_begun and not self.is_write_shut and pending.is_empty
