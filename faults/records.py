"""Records of what clients, engines, operators and the test harness observed during a run.

All times are seconds on the monotonic clock.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

# Seconds after which an event of the command channel counts as delivered, even if it was announced during an
# outage of the channel.
MAX_DELIVERY_DELAY_S = 7.0
# A flood that was never blocked by a full send buffer for this share of its writes was the slow side itself.
MIN_BLOCKED_SHARE = 0.01


class AnswerCode(enum.IntEnum):
    """Codes of the answers that clients get."""

    SERVED = 1
    REFUSED = 2
    FAILED = 3


class AttemptEnd(enum.Enum):
    """How an attempt ended at its engine."""

    SERVED = "served"
    FAILED = "failed"
    FULL = "full"
    CANCELLED = "cancelled"
    RESET = "reset"
    CLOSED = "closed"  # the proxy closed the connection

    @property
    def never_ran(self) -> bool:
        """Whether the engine refused the query before it ran."""
        return self is AttemptEnd.FULL


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violation of a rule, with its time and a description."""

    rule: str  # the name of the rule, for instance "lost"
    occurred_at: float
    text: str


@dataclass(slots=True)
class Answer:
    """An answer as its client received it."""

    received_at: float  # no later than this; see `earliest_at`
    code: AnswerCode
    body: bytes = b""
    cooldown_ms: int | None = None  # how long the client is asked to wait before it sends again, if at all
    earliest_at: float = (
        math.nan
    )  # the earliest time at which it can have been received; `received_at` by default

    def __post_init__(self) -> None:
        if math.isnan(self.earliest_at):
            self.earliest_at = self.received_at


@dataclass(slots=True)
class RequestRecord:
    """One request as its client saw it."""

    ref: str
    proxy: str
    connection: int  # the number of its client connection
    class_name: str
    sent_at: float  # when its last byte was written
    allowed_s: float  # the time in which the client expects an answer
    replay: str | None = None  # the idempotency key
    key: str | None = None  # requests with the same key run one after another if their class is sequential
    answers: list[Answer] = field(default_factory=list)
    cancelled_at: float | None = None  # when the client had sent a CANCEL frame or closed its connection
    cancel_began_at: float | None = None  # when it began to do so
    connection_ended_at: float | None = None  # when the proxy had closed or reset the connection
    connection_ended_earliest_at: float | None = None  # the earliest time at which it can have done so
    is_read: bool = True  # False: the client does not read its answers at once
    connection_reset: bool = False


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as its engine saw it."""

    ref: str
    engine: str
    class_name: str
    first_byte_at: float
    arrived_at: float  # when the whole request had arrived
    wait_s: float  # the time in which the engine has to answer, as the proxy told it
    once: str | None = None  # the idempotency key
    ended_at: float | None = None
    end: AttemptEnd | None = None
    earliest_at: float | None = None  # the earliest time at which its first byte can have arrived
    ended_earliest_at: float | None = None  # the earliest time at which it can have ended
    end_written_at: float | None = None  # when the engine had written the last bytes of its answer
    end_read_late: bool = False  # the engine was silent during the attempt, so `ended_at` may be too late
    read_late: bool = False  # the engine was silent, so the request may have arrived before `first_byte_at`


@dataclass(frozen=True, slots=True)
class EngineAnnouncement:
    """A change of an engine's state that the command channel announced."""

    engine: str
    phase: str
    announced_at: float
    slow_start_began_at: float | None = None  # set only if the engine has just started


@dataclass(slots=True)
class ConnectionRecord:
    """One client connection as its client saw it."""

    number: int
    proxy: str
    opened_at: float
    ended_at: float | None = None  # when either side ended it
    is_reading: bool = True  # a client that reads nothing cannot notice the end of its connection


@dataclass(slots=True)
class OrderRecord:
    """An operator's order: one call to a proxy's console."""

    proxy: str
    path: str
    engine_name: str  # the body of the call; empty for orders that concern no engine
    sent_at: float
    expects_success: bool  # False: the console has to reject the order
    answered_at: float | None = None
    status: int | None = None
    text: str = ""  # the body of the answer
    refused: bool = False  # the console refused the connection

    @property
    def accepted(self) -> bool:
        """Whether the console answered with a status of success."""
        return self.status is not None and 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class ReadinessRecord:
    """One answer of a proxy to a readiness check."""

    proxy: str
    source: str  # "frame" or "console"
    asked_at: float
    answered_at: float
    ready: bool


@dataclass(slots=True)
class ProcessRecord:
    """One process of a proxy."""

    proxy: str
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # when the first SIGTERM or SIGINT was sent
    killed_at: float | None = None  # when SIGKILL was sent
    ended_at: float | None = None
    exit_code: int | None = None
    output: str = ""  # what the proxy's processes wrote to stdout and stderr until this one exited


@dataclass(slots=True)
class FloodReport:
    """What one flood wrote, and how it was held back."""

    kind: str
    bytes_written: int = 0
    connections: int = 0
    writes: int = 0
    is_paced: bool = False  # it opens connections at a fixed rate, so nothing can hold it back
    blocked_waits: int = 0  # times the flood waited because the send buffer was full

    @property
    def was_held_back(self) -> bool:
        """Whether the proxy, not this process, limited how much was written."""
        return self.is_paced or self.blocked_waits > self.writes * MIN_BLOCKED_SHARE


@dataclass(slots=True)
class RunRecord:
    """All records of one run."""

    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    announcements: list[EngineAnnouncement] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    connections: list[ConnectionRecord] = field(default_factory=list)
    orders: list[OrderRecord] = field(default_factory=list)
    readiness: list[ReadinessRecord] = field(default_factory=list)
    channel_outages: list[float] = field(default_factory=list)  # when channel connections hung or ended
    events: list[tuple[float, str]] = field(default_factory=list)  # times and descriptions of injected faults
    stalls: list[tuple[float, float]] = field(default_factory=list)  # ends and durations of harness stalls
    injected: dict[str, int] = field(default_factory=dict)  # number of injected faults by kind
    floods: list[FloodReport] = field(default_factory=list)
    dating_error_s: float = 0.0  # largest error of a date that the kernel gave

    def is_near_channel_outage(self, at: float) -> bool:
        """Return whether an event announced at this time may be delivered late because of an outage."""
        return any(abs(at - outage_at) < MAX_DELIVERY_DELAY_S for outage_at in self.channel_outages)

    def process_at(self, proxy: str, at: float) -> ProcessRecord | None:
        """Return the newest process of a proxy that had started by this time, or None."""
        processes = [
            process for process in self.processes if process.proxy == proxy and process.started_at <= at
        ]
        return processes[-1] if processes else None

    def record_fault(self, at: float, kind: str, text: str) -> None:
        """Record an injected fault, and count it by its kind."""
        self.events.append((at, f"{kind}: {text}"))
        self.injected[kind] = self.injected.get(kind, 0) + 1
