"""Classification of failed system calls: whether this machine or the peer caused the failure.

The cause decides whether a call is retried. Linux documents more errors than occur in normal operation, so
one table for each system call, used by all socket code, classifies them.
"""

from __future__ import annotations

import enum
import errno
from collections.abc import Callable
from typing import TypeVar

import gevent

from hollowhitch import log
from hollowhitch.metrics import Metrics

RETRY_DELAY_S, MAX_RETRIES = 0.005, 40  # of `retry_transient`: seconds between tries, and number of retries
T = TypeVar("T")


class ErrorOrigin(enum.Enum):
    """Side that caused a failure."""

    LOCAL = "ours"  # this machine: it lacks a resource for a moment, and a retry may succeed
    REMOTE = "theirs"  # the peer refused, closed the connection or cannot be reached
    UNKNOWN = "unknown"  # either side: retried like LOCAL, and treated like REMOTE if the retries fail


class SystemCall(enum.Enum):
    """System calls made by the socket code, as named in metrics and the log."""

    LISTEN = "listen"
    ACCEPT = "accept"
    CONNECT = "connect"  # includes socket()
    RECEIVE = "receive"
    SEND = "send"


SHORT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
INTERRUPTED = frozenset({errno.EINTR, errno.EAGAIN})
# The connection broke before it was accepted. Its client learns of that, and other connections are not
# affected.
ABORTED_BEFORE_ACCEPT = frozenset(
    {errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.ECONNRESET, errno.ETIMEDOUT}
)
NETWORK_UNAVAILABLE = frozenset({errno.ENETUNREACH, errno.ENETDOWN, errno.ECONNABORTED, errno.EPERM})
NO_LOCAL_PORT = frozenset({errno.EADDRNOTAVAIL, errno.EADDRINUSE})

_ORIGINS: dict[SystemCall, list[tuple[frozenset[int], ErrorOrigin]]] = {
    SystemCall.LISTEN: [(SHORT_OF_RESOURCES | INTERRUPTED, ErrorOrigin.LOCAL)],
    SystemCall.ACCEPT: [
        (ABORTED_BEFORE_ACCEPT, ErrorOrigin.REMOTE),
        (SHORT_OF_RESOURCES | INTERRUPTED, ErrorOrigin.LOCAL),
    ],
    SystemCall.CONNECT: [
        (SHORT_OF_RESOURCES | INTERRUPTED | NO_LOCAL_PORT, ErrorOrigin.LOCAL),
        (NETWORK_UNAVAILABLE, ErrorOrigin.UNKNOWN),
    ],
    SystemCall.RECEIVE: [(frozenset({errno.ENOBUFS, errno.ENOMEM}) | INTERRUPTED, ErrorOrigin.LOCAL)],
    SystemCall.SEND: [(frozenset({errno.ENOBUFS, errno.ENOMEM}) | INTERRUPTED, ErrorOrigin.LOCAL)],
}
_DEFAULT_ORIGIN = {
    SystemCall.LISTEN: ErrorOrigin.UNKNOWN,
    SystemCall.ACCEPT: ErrorOrigin.UNKNOWN,
    SystemCall.CONNECT: ErrorOrigin.REMOTE,
    SystemCall.RECEIVE: ErrorOrigin.REMOTE,
    SystemCall.SEND: ErrorOrigin.REMOTE,
}


def error_origin(call: SystemCall, error: OSError) -> ErrorOrigin:
    """Return the side that caused the failure of `call`. A timeout set by this process counts as REMOTE."""
    for errnos, origin in _ORIGINS[call]:
        if error.errno in errnos:
            return origin
    return _DEFAULT_ORIGIN[call]


def errno_name(error: OSError) -> str:
    """Return the error's symbolic name such as `ECONNRESET`; `timeout` if this process stopped waiting."""
    if isinstance(error, TimeoutError) and error.errno is None:
        return "timeout"
    return errno.errorcode.get(error.errno or 0, "unknown")


def retry_transient(call: SystemCall, action: Callable[..., T], *args: object) -> T:
    """Return the result of `action`, which is retried for up to 0.2 s while this machine causes it to fail.

    Raise any other OSError at once, and that of the last try.
    """
    for _ in range(MAX_RETRIES):
        try:
            return action(*args)
        except OSError as e:
            if error_origin(call, e) is not ErrorOrigin.LOCAL:
                raise
        gevent.sleep(RETRY_DELAY_S)
    return action(*args)


def record_failure(metrics: Metrics, call: SystemCall, error: OSError, **ids: object) -> ErrorOrigin:
    """Count and log a failed system call, and return the side that caused it."""
    origin = error_origin(call, error)
    name = errno_name(error)
    metrics.system_call_failures.add(f"{call.value}:{name}")
    log.event("system call", "failed", call=call.value, errno=name, blame=origin.value, **ids)
    return origin
