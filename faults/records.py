"""What clients, servers and the driver saw, as plain records on the monotonic clock (seconds)."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

TOLD_LATE_S = 7.0  # what the channel has to tell counts as told by then, heard or not


class Code(enum.IntEnum):
    """Codes of a client's answer."""

    SERVED = 1
    REFUSED = 2
    FAILED = 3


class AttemptEnd(enum.Enum):
    """How an attempt ended at its server."""

    SERVED = "served"
    FAILED = "failed"
    FULL = "full"
    GIVEN_UP = "given up"
    RESET = "reset"
    CLOSED = "closed"  # the proxy closed the connection

    @property
    def never_ran(self) -> bool:
        return self is AttemptEnd.FULL


@dataclass(frozen=True, slots=True)
class Break:
    """A rule that was broken."""

    rule: str
    at: float
    text: str


@dataclass(slots=True)
class Answer:
    at: float
    code: Code
    body: bytes = b""
    cooldown_ms: int | None = None


@dataclass(slots=True)
class RequestRecord:
    """One request as its client saw it."""

    ref: str
    proxy: str
    connection: int
    class_name: str
    sent_at: float  # when its last byte was written
    allow_s: float
    replay: str | None = None
    key: str | None = None
    answers: list[Answer] = field(default_factory=list)
    cancelled_at: float | None = None  # type 3, or the client closed its connection
    connection_ended_at: float | None = None  # the proxy closed or reset it
    connection_reset: bool = False


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as its server saw it."""

    ref: str
    server: str
    proxy: str
    class_name: str
    first_byte_at: float
    arrived_at: float
    wait_s: float
    once: str | None = None
    ended_at: float | None = None
    end: AttemptEnd | None = None
    end_read_late: bool = False  # the server was silent since: when it was given up is not known
    read_late: bool = False  # it lay unread at a silent server: when it arrived is not known


@dataclass(frozen=True, slots=True)
class ServerState:
    """A change of a server's state that the command channel told."""

    server: str
    phase: str
    told_at: float
    started_at: float | None = None  # of a late start


@dataclass(slots=True)
class ConnectionRecord:
    """One client connection, from its client's side."""

    number: int
    proxy: str
    opened_at: float
    ended_at: float | None = None  # either side ended it
    reads: bool = True  # a client that reads nothing cannot see an end


@dataclass(slots=True)
class OrderRecord:
    """One call to a proxy's console."""

    proxy: str
    path: str
    subject: str  # the body: a database's id, or nothing
    sent_at: float
    expect_yes: bool
    answered_at: float | None = None
    status: int | None = None
    text: str = ""
    refused: bool = False  # nobody listened

    @property
    def accepted(self) -> bool:
        return self.status is not None and 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class ReadinessRecord:
    """One answer to the question whether a proxy is ready."""

    proxy: str
    way: str  # frame or console
    asked_at: float
    answered_at: float
    ready: bool


@dataclass(slots=True)
class ProxyLife:
    """One process of a proxy."""

    proxy: str
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # SIGTERM or SIGINT
    killed_at: float | None = None  # SIGKILL
    ended_at: float | None = None
    code: int | None = None
    stderr: str = ""


@dataclass(slots=True)
class Run:
    """All that one run recorded."""

    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    states: list[ServerState] = field(default_factory=list)
    lives: list[ProxyLife] = field(default_factory=list)
    connections: list[ConnectionRecord] = field(default_factory=list)
    orders: list[OrderRecord] = field(default_factory=list)
    readiness: list[ReadinessRecord] = field(default_factory=list)
    channel_troubles: list[float] = field(default_factory=list)  # when calls fell silent or were ended
    events: list[tuple[float, str]] = field(default_factory=list)  # what the driver did
    stalls: list[tuple[float, float]] = field(default_factory=list)  # of the stand-ins: when, for how long
    injected: dict[str, int] = field(default_factory=dict)  # faults by kind

    def is_troubled(self, at: float) -> bool:
        """Were calls to the channel in trouble so near to this time that news of then counts as told late?"""
        return any(abs(at - trouble) < TOLD_LATE_S for trouble in self.channel_troubles)

    def life_at(self, proxy: str, at: float) -> ProxyLife | None:
        """The newest process of a proxy that had started by then."""
        lives = [life for life in self.lives if life.proxy == proxy and life.started_at <= at]
        return lives[-1] if lives else None

    def note(self, at: float, kind: str, text: str) -> None:
        """Write down a fault that the driver brought about."""
        self.events.append((at, f"{kind}: {text}"))
        self.injected[kind] = self.injected.get(kind, 0) + 1
