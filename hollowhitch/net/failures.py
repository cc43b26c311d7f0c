"""What a failed system call says: whose failure it is, and so what may be done next.

Linux documents more errors than one meets on a calm day. Each call has one table here; every driver asks it.
"""

from __future__ import annotations

import enum
import errno
from collections.abc import Callable
from typing import TypeVar

import gevent

from hollowhitch import log
from hollowhitch.metrics import Metrics

RETRY_S, RETRIES_MOST = 0.005, 40
T = TypeVar("T")


class Blame(enum.Enum):
    """Where a failure lies."""

    OURS = "ours"  # this machine lacks something for a moment: no peer is to blame, and a retry may succeed
    THEIRS = "theirs"  # the peer refused, went away or cannot be reached
    UNKNOWN = "unknown"  # either: retried like ours, and counted like theirs if it lasts


class Call(enum.Enum):
    """The system calls of the drivers."""

    LISTEN = "listen"
    ACCEPT = "accept"
    CONNECT = "connect"  # socket() as well
    RECEIVE = "receive"
    SEND = "send"


SHORT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
INTERRUPTED = frozenset({errno.EINTR, errno.EAGAIN})
# A connection that broke before it was accepted: its client knows, and the next one is not affected.
GONE_BEFORE_ACCEPT = frozenset(
    {errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.ECONNRESET, errno.ETIMEDOUT}
)
NO_ROUTE_FOR_NOW = frozenset({errno.ENETUNREACH, errno.ENETDOWN, errno.ECONNABORTED, errno.EPERM})
NO_LOCAL_PORT = frozenset({errno.EADDRNOTAVAIL, errno.EADDRINUSE})

_TABLE: dict[Call, list[tuple[frozenset[int], Blame]]] = {
    Call.LISTEN: [(SHORT_OF_RESOURCES | INTERRUPTED, Blame.OURS)],
    Call.ACCEPT: [
        (GONE_BEFORE_ACCEPT, Blame.THEIRS),
        (SHORT_OF_RESOURCES | INTERRUPTED, Blame.OURS),
    ],
    Call.CONNECT: [
        (SHORT_OF_RESOURCES | INTERRUPTED | NO_LOCAL_PORT, Blame.OURS),
        (NO_ROUTE_FOR_NOW, Blame.UNKNOWN),
    ],
    Call.RECEIVE: [(frozenset({errno.ENOBUFS, errno.ENOMEM}) | INTERRUPTED, Blame.OURS)],
    Call.SEND: [(frozenset({errno.ENOBUFS, errno.ENOMEM}) | INTERRUPTED, Blame.OURS)],
}
_OTHERWISE = {
    Call.LISTEN: Blame.UNKNOWN,
    Call.ACCEPT: Blame.UNKNOWN,
    Call.CONNECT: Blame.THEIRS,
    Call.RECEIVE: Blame.THEIRS,
    Call.SEND: Blame.THEIRS,
}


def blame(call: Call, error: OSError) -> Blame:
    """Whose failure this is. A timeout of our own waiting is theirs."""
    for numbers, found in _TABLE[call]:
        if error.errno in numbers:
            return found
    return _OTHERWISE[call]


def errno_name(error: OSError) -> str:
    """`ECONNRESET` and the like; `timeout` where waiting ended the call."""
    if isinstance(error, TimeoutError) and error.errno is None:
        return "timeout"
    return errno.errorcode.get(error.errno or 0, "unknown")


def retried(call: Call, action: Callable[..., T], *args: object) -> T:
    """What `action` returns; called again for a moment while it fails for want of something here."""
    for _ in range(RETRIES_MOST):
        try:
            return action(*args)
        except OSError as e:
            if blame(call, e) is not Blame.OURS:
                raise
        gevent.sleep(RETRY_S)
    return action(*args)


def record(metrics: Metrics, call: Call, error: OSError, **ids: object) -> Blame:
    """Count and log a failure; say whose it is."""
    found = blame(call, error)
    name = errno_name(error)
    metrics.system_calls.add(f"{call.value}:{name}")
    log.event("system call", "failed", call=call.value, errno=name, blame=found.value, **ids)
    return found
