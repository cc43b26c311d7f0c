"""Types that cross the controller's interface: settings, events in, actions out.

Times are integer microseconds on the caller's clock. A setting that is None switches off the rule or the
mechanism that it belongs to, unless its comment says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetrySafety(Enum):
    """Whether the queries of a class may run more than once."""

    SAFE = "safe"  # running twice does no harm: the query may be retried, and refused after it has run
    DEDUPLICATED = "keyed"  # the engines of one `DedupScope` drop repeats for `dedup_window_us`
    UNSAFE = "unsafe"  # the query must run at most once


class DedupScope(Enum):
    """Group of engines that together drop repeats of a query."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the query may have run
    FULL = "full"  # the engine refused the query, which never ran
    TIMEOUT = "timeout"  # the query may still be running
    CONNECT_FAILED = "connect_failed"  # the query never ran
    RESET = "reset"  # the connection broke; the query may still be running
    CANCELLED = "cancelled"  # the query may still be running
    NEVER_SENT = "moot"  # the query was not sent
    UNKNOWN = "unknown"  # an unknown code; the query may have run, or may still be running

    @property
    def never_ran(self) -> bool:
        """Whether the query certainly did not run."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)

    @property
    def may_still_run(self) -> bool:
        """Whether the query may still be running at the engine."""
        return self in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN)


class EngineState(Enum):
    """State of an engine in a list."""

    READY = "ready"
    DRAINING = "draining"  # finishes its queries and gets no more
    GONE = "gone"  # no longer exists


class ListKind(Enum):
    """What a list of engines contains."""

    DELTA = "delta"  # names only the engines that have changed
    FULL = "full"  # names all engines
    CACHED = "cached"  # names all engines, as saved earlier
    FAILED = "failed"  # is empty, since the list could not be fetched


class NoteKind(Enum):
    """What an engine's note on a running attempt is about."""

    PROGRESS = 1  # the note's value is the share of the work that is done
    SPILLED = 2  # the note's value is the memory in MB that the grant lacked
    WAITING_FOR_MEMORY = 3
    WAITING_FOR_BULK_LOAD = 4


class MemoryShortagePolicy(Enum):
    """What an engine does with a query when its memory is short."""

    WAIT = "wait"  # the query waits for memory
    SHRINK = "shrink"  # the query gets less memory
    PAGE = "page"  # the engine pages to disk


class InvalidFieldError(ValueError):
    """A field of the settings has an unusable value; `class_name` is set if it belongs to a query class."""

    def __init__(self, field: str, requirement: str, class_name: str | None = None) -> None:
        super().__init__(f"{field} {requirement}" + (f" (class {class_name})" if class_name else ""))
        self.field, self.requirement, self.class_name = field, requirement, class_name


@dataclass(frozen=True, slots=True)
class EngineKind:
    """A kind of engine and its sizes; None for a size that is not configured."""

    name: str
    cores: float | None
    memory_mb: float | None


@dataclass(frozen=True, slots=True)
class QueryClass:
    """Settings of a class of queries."""

    name: str
    target_us: int  # latency target of a query whose work is negligible
    target_work_factor: float  # this factor times work / threads is added to the latency target
    deadline_us: int  # upper bound of the latency target
    worth: float  # worth of an answer within the latency target
    late_worth_share: float  # share of `worth` that an answer after the latency target has
    retry_safety: RetrySafety
    dedup_scope: DedupScope
    dedup_window_us: int  # time for which engines drop repeats of a query
    in_order: bool  # queries with the same order key must run one after the other
    threads: int  # threads of one query
    is_bulk_load: bool  # a query locks its data set while it runs
    waits_for_bulk_loads: bool  # a query waits while a bulk load locks its data set
    only_zones: tuple[str, ...] | None  # zones of the engines that may run the class; None: all
    only_kinds: tuple[str, ...] | None  # kinds of the engines that may run the class; None: all

    def __post_init__(self) -> None:
        for field_name in ("target_us", "deadline_us"):
            if getattr(self, field_name) <= 0:
                raise InvalidFieldError(field_name, "must be above 0", self.name)
        if self.threads < 1:
            raise InvalidFieldError("threads", "must be at least 1", self.name)
        if self.retry_safety is RetrySafety.DEDUPLICATED and self.dedup_window_us < 0:
            raise InvalidFieldError("dedup_window_us", "must not be negative", self.name)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its part of the capacity."""

    name: str
    quota_per_s: float | None  # queries per second over all gateways; None or 0: no quota
    share: float


@dataclass(frozen=True, slots=True)
class Limits:
    """Which mechanisms the gateway may use, and within which limits."""

    max_attempts: int  # attempts per query, including the first
    cancel: bool  # whether attempts may be cancelled
    second_copies: bool  # whether a query may have two attempts in flight; not used by the controller
    probes: bool  # whether engines may be probed
    messages: bool  # whether gateways may send each other messages; not used by the controller
    retry_after_us: int | None  # advice to the clients of refused queries; None: clients ignore such advice


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules that all gateways keep together.

    In any window of `slow_start_window_us`, the work that all gateways together send to an engine in slow
    start must not exceed `slow_start_multiple` times what the engine can do in the window at its capacity of
    that time.
    """

    answer_slack_us: int  # time after a query's expiry up to which an answer is not late
    drain_grace_us: int  # not used by the controller: a drain takes effect at once
    list_max_age_us: int | None  # age above which the last list is out of date if not subscribed; None: none
    start_capacity_share: float  # capacity right after the start, as a share of the full capacity
    slow_start_us: int  # age at which an engine has its full capacity
    slow_start_multiple: float  # 0: no limit
    slow_start_window_us: int
    key_delay_us: int  # delay of an order key's next query if the last one may still be running
    retry_budget_share: float | None  # retries allowed per arrival in the window
    retry_budget_free: float  # retries allowed in the window in addition to that share
    retry_budget_window_us: int


@dataclass(frozen=True, slots=True)
class Prices:
    """What the score deducts for each use of a mechanism."""

    cross_zone: float
    waste: float
    probe: float
    late_fail: float
    message: float
    handshake: float = 0.0  # times the new connections per first attempt
    connection: float = 0.0  # times the mean number of open connections over 100 for each engine
    discovery: float = 0.0  # times the list lines sent per 100 first attempts


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one gateway's controller."""

    gateway_index: int  # from 0
    gateway_count: int
    zone: str | None  # zone of this gateway; None: unknown, so that every engine is in another zone
    zones: tuple[str, ...]
    kinds: tuple[EngineKind, ...]
    classes: tuple[QueryClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    limits: Limits
    rules: Rules
    prices: Prices
    subscribes_to_list: bool  # whether the controller has to subscribe to the list of engines
    reports_with_answers: bool  # whether load reports come with the outcomes of attempts
    reports_with_probes: bool  # whether load reports come with the results of probes
    weight_is_size: bool
    tick_us: int  # interval at which the simulator delivers events in batches
    engines_take_grants: bool  # whether engines respect the memory in `SetTerms`
    engines_take_priorities: bool  # whether engines respect the priority in `SetTerms`
    max_grant_share: float | None
    engines_report_usage: bool  # whether outcomes say how much work and memory an attempt took
    progress_us: int
    memory_shortage_policy: MemoryShortagePolicy | None

    def __post_init__(self) -> None:
        if self.gateway_count < 1:
            raise InvalidFieldError("gateway_count", "must be at least 1")
        # An index past the count is allowed: gateways may have been added since the count was configured.
        if self.gateway_index < 0:
            raise InvalidFieldError("gateway_index", "must not be negative")
        if not self.classes:
            raise InvalidFieldError("classes", "must not be empty")
        class_names = [c.name for c in self.classes]
        if len(set(class_names)) != len(class_names):
            raise InvalidFieldError("classes", "must have different names")
        for query_class in self.classes:
            kind_names = {k.name for k in self.kinds}
            if (
                query_class.only_kinds is not None
                and kind_names
                and not kind_names >= set(query_class.only_kinds)
            ):
                raise InvalidFieldError("only_kinds", "has a kind that is not in kinds", query_class.name)
            if (
                query_class.only_zones is not None
                and self.zones
                and not set(self.zones) >= set(query_class.only_zones)
            ):
                raise InvalidFieldError("only_zones", "has a zone that is not known", query_class.name)
        rules = self.rules
        if rules.retry_budget_share is not None and rules.retry_budget_window_us <= 0:
            raise InvalidFieldError("retry_budget_window_us", "must be above 0 if there is a budget")
        if self.limits.max_attempts < 1:
            raise InvalidFieldError("max_attempts", "must be at least 1")


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine as a list describes it."""

    id: str
    zone: str
    kind: str  # name of an `EngineKind`
    cell: int
    state: EngineState
    weight: float
    started_at_us: int  # 0: long ago
    latest_start_at_us: int = 0  # time by which the engine had certainly started; 0: the same


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an engine reports of itself; None for a value that it does not report."""

    cpu_share: float | None  # share of the cores that is busy
    running: float | None  # running threads
    waiting: float | None  # queries that wait for memory
    memory_share: float | None  # share of the memory that is granted to queries
    disk_share: float | None  # share of the disks that is busy
    latency_ms: float | None
    served_per_s: float | None
    errors_per_s: float | None

    @property
    def busiest_share(self) -> float:
        """The share in use of the resource that is used most: cores, memory or disks."""
        return max(self.cpu_share or 0.0, self.memory_share or 0.0, self.disk_share or 0.0)


# Events in


@dataclass(frozen=True, slots=True)
class EngineList:
    """A new list of engines."""

    kind: ListKind
    engines: tuple[Engine, ...]


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A client has sent a query."""

    id: str
    class_name: str
    tenant: str | None  # None: no tenant
    key: int | None  # order key; None: no key
    expires_in_us: int
    cost_us: int  # the client's estimate of the work; 0: no estimate
    memory_mb: float  # the client's estimate of the memory; 0: no estimate
    data_set: int
    is_retry: bool  # the client has sent the query before
    # Whether an `AnswerDelivered` will follow; if not, the answer counts as delivered when it is given.
    awaits_delivery: bool = False


@dataclass(frozen=True, slots=True)
class StreamBegan:
    """The answer of an attempt has begun to stream."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Note:
    """An engine has noted something on a running attempt."""

    id: str
    attempt: int
    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended."""

    id: str
    attempt: int
    engine: str
    outcome: Outcome
    elapsed_us: int
    is_final: bool  # the query needs no further answer: the client has one, or no longer waits
    work_us: int  # as measured by the engine; 0: not reported
    memory_mb: float  # as measured by the engine; 0: not reported
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client no longer waits for its query."""

    id: str


@dataclass(frozen=True, slots=True)
class Closing:
    """The gateway is shutting down, and can serve nothing after `ends_in_us`."""

    ends_in_us: int


@dataclass(frozen=True, slots=True)
class AnswerDelivered:
    """A query's answer has left the process, or nobody waits for it any more."""

    id: str


@dataclass(frozen=True, slots=True)
class GiveUp:
    """A query needs its final answer now, since the gateway shuts down or the client can't be reached."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the controller set has fired."""

    label: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe of an engine has ended."""

    engine: str
    outcome: Outcome
    elapsed_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Another gateway has sent a message."""

    gateway: int
    data: bytes


Event = (
    EngineList
    | QueryArrived
    | StreamBegan
    | Note
    | AttemptEnded
    | AnswerDelivered
    | ClientLeft
    | Closing
    | GiveUp
    | TimerFired
    | ProbeEnded
    | MessageReceived
)

# Actions out


class EndReason(Enum):
    """Why a query ended without a result."""

    NO_TIME = "no_time"  # the query arrived with no time left, or its time ran out
    MISSES_TARGET = "misses_aim"  # the query could not be sent early enough to meet its latency target
    OVER_QUOTA = "over_share"  # the query's tenant was over its quota, and the query would have been held
    LEAST_WORTH = "least_worth"  # too much work was held, and the query had the least worth per work
    NO_ATTEMPT_LEFT = "no_attempt_left"  # the query must not be sent again
    CLOSING = "closing"  # the query could not be served before the gateway shuts down
    GIVEN_UP = "given_up"  # the gateway shut down, or the client could not be reached
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Send:
    """Send a query to an engine."""

    id: str
    engine: str
    timeout_us: int  # 0: the attempt ends only when the query expires
    # Time within which the attempt must have been written whole, or must not be sent; None: no such limit.
    send_within_us: int | None = None


@dataclass(frozen=True, slots=True)
class SetTerms:
    """Set the memory and the priority of a query's next attempts."""

    id: str
    memory_mb: float  # 0: the engine chooses
    priority: int  # from 0 (lowest) to 3


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a query, which the client may send again without harm."""

    id: str
    retry_after_us: int  # time after which the client should send the query again; 0: no advice
    reason: EndReason = EndReason.UNKNOWN


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail a query, which may have run."""

    id: str
    reason: EndReason = EndReason.UNKNOWN


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer, which fires once as a `TimerFired` with the same label."""

    label: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe an engine for its load."""

    engine: str


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to other gateways."""

    gateway: int | None  # None: every other gateway
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """Report that an engine was ejected or reinstated, for logs and metrics only."""

    engine: str
    change: str  # "ejected" or "reinstated"
    reason: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to the list of engines."""


@dataclass(frozen=True, slots=True)
class FetchList:
    """Fetch the list of engines once."""


Action = (
    Send
    | SetTerms
    | Refuse
    | Fail
    | CancelAttempt
    | SetTimer
    | Probe
    | SendMessage
    | Log
    | HealthChanged
    | Subscribe
    | FetchList
)
