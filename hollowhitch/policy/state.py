"""Records and containers of the controller, its clock, and what the told rules allow.

Nothing here chooses: no tuned value, no preference. The rules' limits are counted from settings alone (what
is lawful, not what is wise), and the splits and orders are those that `control.py` asks for.
"""

from __future__ import annotations

import heapq
import math
import random
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from hollowhitch.policy import interface as api

SPARE = 256  # entries of held queries that have left, before the rest are sorted out
LONGEST_TIMER_US = 3_600_000_000  # a longer wait is cut in two by the caller's own limit


class Attempt:
    """One send of a query to an engine."""

    __slots__ = ("query", "n", "engine", "sent", "charge", "work", "open", "called_off", "pool_charge")

    def __init__(
        self, query: Query, n: int, engine: EngineTable, sent: int, charge: float, pool_charge: float,
        work: float,
    ) -> None:
        self.query, self.n, self.engine, self.sent, self.work = query, n, engine, sent, work
        self.charge, self.pool_charge = charge, pool_charge  # at the engine; over all engines
        self.open, self.called_off = True, False


class Query:
    """A query held or out. Its record stays until its last attempt has ended."""

    __slots__ = ("id", "ci", "cls", "key", "taken", "expires", "aim", "answer_by", "told", "work", "mem",
                 "bins", "data_set", "over", "attempts", "ran", "done", "held", "streaming", "grant",
                 "weight", "priority", "two", "asked", "blamed")

    def __init__(self, ev: api.QueryArrived, ci: int, cls: api.QueryClass, now: int) -> None:
        self.id, self.ci, self.cls = ev.id, ci, cls
        self.key = ev.key if cls.in_order else None
        self.taken, self.expires, self.data_set = now, now + ev.expires_in_us, ev.data_set
        self.told = (ev.cost_us, ev.memory_mb)
        self.aim, self.answer_by, self.work, self.mem, self.bins = 0.0, 0.0, 0.0, 0.0, (0, 0)
        self.attempts: list[Attempt] = []
        self.ran: Attempt | None = None  # the first that may have run
        self.over = self.done = self.held = self.streaming = False
        self.grant, self.weight, self.priority = 0.0, 0.0, -1  # weight: in the cold budget
        self.two: list[EngineTable] = []  # the two candidates
        self.blamed: list[EngineTable] = []  # that gave an error or broke off
        self.asked = 0  # probes that its first send waits for

    def out(self) -> list[Attempt]:
        return [a for a in self.attempts if a.open]

    def over_best(self, elapsed_us: int, slack: float) -> float:
        """Log of latency over best; a share of the aim on both sides keeps tiny queries from shouting."""
        slack *= self.cls.aim_us
        return math.log((elapsed_us + slack) / (self.work / self.cls.threads + slack))

    def stays_inside(self, engine: api.Engine) -> bool:
        """Is an engine in the group that drops this query's repeats, where it is keyed and may have run?"""
        ran = self.ran or next(iter(self.out()), None)
        if ran is None or self.cls.effect is not api.Effect.KEYED or self.cls.scope is api.Scope.ALL:
            return True
        old = ran.engine.info
        return engine.zone == old.zone if self.cls.scope is api.Scope.ZONE else engine.cell == old.cell


class ClassTable:
    """What was seen of one class: logs of true over told cost and memory, mean work, usual time."""

    def __init__(self, first: float) -> None:
        self.ratio = self.mem_ratio = 0.0
        self.mean_work = self.usual_us = first
        self.short = 0.0  # log of memory needed over the usual grant


class Rates:
    """Holds and sends a second, smoothed."""

    def __init__(self) -> None:
        self.hold_rate = self.send_rate = 0.0
        self.holds = self.sends = 0

    def smooth(self, weight: float, period_us: int) -> None:
        self.hold_rate += weight * (self.holds * 1e6 / period_us - self.hold_rate)
        self.send_rate += weight * (self.sends * 1e6 / period_us - self.send_rate)
        self.holds = self.sends = 0


class Bounds:
    """The last values seen, and the lower bounds that part them into four of equal sums."""

    def __init__(self, size: int, every: int) -> None:
        self.values: deque[float] = deque(maxlen=size)
        self.every, self.seen, self.bounds = every, 0, [0.0] * 3

    def place(self, value: float) -> int:
        """Take in a value; its part, from 0."""
        self.values.append(value)
        if self.seen % self.every == 0:
            self.bounds = parted(self.values, 4)
        self.seen += 1
        return sum(value >= b for b in self.bounds)


class EngineTable(Rates):
    """What one gateway knows of one engine: CASA's numbers, health, warmth, what it got while cold."""

    def __init__(
        self, info: api.Engine, cores: float, memory: float, limit: float, warm_sets: int, now: int,
        whole: bool, keep: int,
    ) -> None:
        super().__init__()
        self.info, self.cores, self.limit, self.big = info, cores, limit, limit
        self.whole, self.newer, self.swept = whole, 0.0, now  # in whole slots; charges since the report
        self.memory, self.newly_granted = memory, 0.0  # MB: told; ours since the report, less what ended
        self.slots = self.own_work = self.error = 0.0
        self.out: dict[tuple[str, int], Query] = {}
        self.stretch, self.heard, self.full_at = 0.0, now, None  # stretch: log of latency over best
        self.report: api.LoadReport | None = None
        self.report_at = self.probed = 0
        self.askers: list[Query] = []  # that wait for a probe's result
        self.failing, self.trials, self.ejected_until = 0.0, 0, 0
        self.trial: Attempt | None = None
        self.warm: deque[int] = deque(maxlen=warm_sets)
        self.locked: dict[int, float] = {}  # until when another gateway's load may hold a data set
        self.threads, self.given = 0, Window(keep)  # out now; work sent, for the cold budget
        self.turns, self.draw = range(0), math.inf  # while cold: the last turns looked at, and our draw

    def turn(self, numbers: range, among: int, ours: int) -> float:
        """Each turn falls to one of `among`, drawn from its number and the engine's id: the same for whoever
        asks. The least draw, below 1, of those that fall to `ours`; infinite where none does."""
        if numbers != self.turns:
            draws = [zlib.crc32(f"{n} {self.info.id}".encode()) for n in numbers]
            self.turns = numbers
            self.draw = min((d / 2**32 for d in draws if d % among == ours), default=math.inf)
        return self.draw

    def took(self, q: Query, a: Attempt, weight: float) -> None:
        """Book an attempt that goes out; `weight` is its work in the cold budget."""
        q.attempts.append(a)
        self.out[q.id, a.n] = q
        self.slots += a.charge
        self.newer += a.charge
        self.own_work += a.work
        self.sends += 1
        self.threads += q.cls.threads
        self.newly_granted += q.grant
        self.given.add(a.sent, weight)
        if q.data_set in self.warm:
            self.warm.remove(q.data_set)
        self.warm.append(q.data_set)

    def gave_back(self, q: Query, a: Attempt) -> None:
        """Book its end; the charge and the work stay until `release`."""
        del self.out[q.id, a.n]
        self.threads -= q.cls.threads
        self.newly_granted -= q.grant  # what an older report still counts

    def heard_report(self, report: api.LoadReport | None, now: int) -> None:
        if report is None:
            return
        if report != self.report:
            self.newly_granted = self.newer = 0.0
        self.report, self.report_at = report, now

    def release(self, a: Attempt) -> None:
        self.slots = max(0.0, self.slots - a.charge)
        self.own_work = max(0.0, self.own_work - a.work)


class Answered:
    """Engines by their answers, each of which one later send uses up."""

    def __init__(self) -> None:
        self.entries: deque[tuple[int, EngineTable]] = deque()

    def add(self, now: int, e: EngineTable) -> None:
        self.entries.append((now, e))

    def use(self, e: EngineTable) -> None:
        if (entry := next((x for x in self.entries if x[1] is e), None)) is not None:
            self.entries.remove(entry)

    def since(self, edge: int) -> list[EngineTable]:
        """Each once, the newest answer first; what is older than `edge` is forgotten."""
        while self.entries and self.entries[0][0] < edge:
            self.entries.popleft()
        return list({e.info.id: e for _, e in reversed(self.entries)}.values())


class Window:
    """Amounts by time, added up over a rolling window, at most `keep` long; what is older is forgotten."""

    def __init__(self, keep: int) -> None:
        self.keep = keep
        self.entries: deque[tuple[int, float]] = deque()
        self.total = 0.0

    def add(self, now: int, amount: float = 1.0) -> None:
        self.entries.append((now, amount))
        self.total += amount
        self.since(now - self.keep)  # also where no rule asks for the sum

    def since(self, edge: int) -> float:
        """The sum at or after `edge`, which never goes back; what is older is forgotten."""
        while self.entries and self.entries[0][0] < edge:
            self.total -= self.entries.popleft()[1]
        if not self.entries:
            self.total = 0.0
        return self.total


class TokenBucket:
    """A rate with a second's worth of slack, one at the least."""

    def __init__(self, per_s: float, part: float) -> None:
        self.per_s, self.part = per_s, part
        self.level, self.at = max(per_s * part, 1.0), 0

    def take(self, now: int, slack_s: float) -> bool:
        per_s = self.per_s * self.part
        self.level = min(self.level + per_s * (now - self.at) / 1e6, max(per_s * slack_s, 1.0))
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Agenda:
    """Calls to make later, in order of time and then of entry."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.serial = 0

    def add(self, when: float, call: Callable[[Any], None], arg: Any) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (int(when), self.serial, call, arg))

    def run(self, now: int) -> None:
        while self.heap and self.heap[0][0] <= now:
            _, _, call, arg = heapq.heappop(self.heap)
            call(arg)

    def next(self) -> int | None:
        return self.heap[0][0] if self.heap else None


class HeldQueries:
    """Held queries in one line for each group of alike ones, so that only the heads need a look."""

    def __init__(self) -> None:
        self.lines: dict[Any, deque[Query]] = {}
        self.ranked: list[tuple[float, int, Query]] = []
        self.work, self.count, self.serial = 0.0, 0, 0

    def add(self, group: Any, q: Query, worth: float, in_line: bool) -> None:
        """Count q as held; it joins its group's line unless it still waits for its key's turn."""
        q.held = True
        self.work += q.work
        self.count += 1
        self.serial += 1
        heapq.heappush(self.ranked, (worth, self.serial, q))
        if in_line:
            self.lines.setdefault(group, deque()).append(q)

    def leave(self, q: Query) -> None:
        if q.held:
            q.held = False
            self.work -= q.work
            self.count -= 1
            if len(self.ranked) > 2 * self.count + SPARE:  # what has left must not stay in memory
                self.ranked = [entry for entry in self.ranked if entry[2].held]
                heapq.heapify(self.ranked)

    def least_worth(self, wanted: Callable[[Query], bool]) -> Query | None:
        """Take out the held query of least worth for its work that `wanted` accepts."""
        while self.ranked:
            q = heapq.heappop(self.ranked)[2]
            if q.held and not q.done and wanted(q):
                return q
        return None

    def head(self, group: Any) -> Query | None:
        line = self.lines.get(group)
        while line and (line[0].done or not line[0].held):
            line.popleft()
        if not line:
            self.lines.pop(group, None)
            return None
        return line[0]

    def oldest_first(self, send: Callable[[Query], bool]) -> None:
        """Offer heads to `send`, oldest first; a group whose head does not leave is passed over."""
        heads = [(q.taken, n, g) for n, g in enumerate(list(self.lines)) if (q := self.head(g))]
        heapq.heapify(heads)
        while heads:
            _, n, group = heads[0]
            head = self.head(group)
            if head is not None and send(head):
                self.leave(head)
                head = self.head(group)
                if head is not None:
                    heapq.heapreplace(heads, (head.taken, n, group))
                    continue
            heapq.heappop(heads)


class KeyLines:
    """For each order key its queries in the order taken; one stays until its last attempt has ended."""

    def __init__(self) -> None:
        self.lines: dict[int, deque[Query]] = {}
        self.rested: dict[int, int] = {}

    def add(self, q: Query) -> None:
        if q.key is not None:
            self.lines.setdefault(q.key, deque()).append(q)

    def first(self, key: int) -> Query | None:
        line = self.lines.get(key)
        return line[0] if line else None

    def turn(self, q: Query, now: int) -> bool:
        """Is q first of its key, and the key rested (which the one that has the turn need not wait for)?"""
        if q.key is None:
            return True
        return self.first(q.key) is q and (bool(q.attempts) or now >= self.rested.get(q.key, 0))

    def remove(self, q: Query) -> None:
        line = self.lines.get(q.key) if q.key is not None else None
        if line and q in line:
            line.remove(q)
            if not line:
                del self.lines[q.key]


class Ledger:
    """Runs the clock and keeps the books: queries by id, engines by list, timers. A controller decides."""

    def __init__(self, settings: api.Settings, seed: int, sample: int, rebin: int) -> None:
        self.s, self.rng, self.now = settings, random.Random(seed), 0
        self.acts: list[api.Action] = []
        self.kinds = {k.name: k for k in settings.kinds}
        self.class_index = {c.name: i for i, c in enumerate(settings.classes)}
        self.engines: dict[str, EngineTable] = {}
        self.awake: dict[str, EngineTable] = {}  # those that are swept
        self.open_for: list[dict[EngineTable, None]] = [{} for _ in settings.classes]  # sets, but in order
        self.queries: dict[str, Query] = {}
        self.held, self.lines, self.agenda = HeldQueries(), KeyLines(), Agenda()
        self.taken, self.extra = (Window(settings.rules.budget_window_us) for _ in range(2))
        self.costs, self.memories = Bounds(sample, rebin), Bounds(sample, rebin)
        self.gateways = max(settings.gateways, settings.gateway + 1)
        self.share = self.even = self.offered_share = 1 / self.gateways  # of all: answered, even, offered
        told = [(t.name, t.quota_per_s) for t in settings.tenants]
        self.quotas = {name: TokenBucket(per_s, self.even) for name, per_s in told if per_s}
        self.rates = Rates()  # over all engines, as all that follows
        self.whole, self.cores, self.able = False, 1.0, 1.0  # any engine in whole slots; cores; less the cold
        self.fresh: list[EngineTable] = []  # the cold ones of those that are ready
        self.served = self.offered = 0.0  # work since the last sweep
        self.drain = 1e6  # work answered in a second
        self.slots = self.stretch = self.tense = self.best = self.crowd = self.granted = 0.0
        self.crowd_at, self.busy, self.steep = -(10**9), 0.1, 1.0
        self.steady_at = 0  # times before are not read
        self.label, self.armed, self.all_ill = 0, 0, False
        self.ends_at = math.inf  # of the gateway
        self.subscribed = not settings.asks_for_list
        self.listed_at: int | None = None
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.TimerFired: self._fired,
            api.StreamBegan: self._began,
            api.ClientLeft: self._left,
            api.Closing: self._closing,
            api.GiveUp: self._given_up,
            api.QueryArrived: self._arrived,
            api.AttemptEnded: self._ended,
            api.Note: self._noted,
            api.ProbeEnded: self._probed,
            api.EngineList: self._listed,
        }

    # What a controller decides

    def arrived(self, q: Query, ev: api.QueryArrived) -> None:
        raise NotImplementedError

    def offer(self, q: Query) -> None:
        """Decide on a query that may be sent now."""
        raise NotImplementedError

    def again(self, q: Query) -> None:
        """Decide on a query whose last attempt has ended without an answer."""
        raise NotImplementedError

    def account(self, q: Query, a: Attempt, ev: api.AttemptEnded) -> None:
        """Take in what the end of an attempt tells of its engine."""
        raise NotImplementedError

    def noted(self, q: Query, a: Attempt, ev: api.Note) -> None:
        raise NotImplementedError

    def probed(self, e: EngineTable, ev: api.ProbeEnded) -> None:
        raise NotImplementedError

    def listed(self, ev: api.EngineList, first: bool) -> None:
        raise NotImplementedError

    def engine(self, info: api.Engine, cores: float | None, memory: float | None) -> EngineTable:
        raise NotImplementedError

    def pump(self, only: EngineTable | None = None) -> None:
        """Offer what is held, to one engine or all."""
        raise NotImplementedError

    # Averages over the engines heard

    def average(self, weight: float, report: api.LoadReport, tasks: float, tense: bool) -> None:
        self.crowd += weight * (tasks - self.crowd)
        self.busy += weight * (report.busiest - self.busy)
        self.granted += weight * ((report.memory or 0.0) - self.granted)
        self.tense += weight * (tense - self.tense)
        self.crowd_at = self.now

    # What the told rules allow

    def may_refuse(self, q: Query) -> bool:
        """Rule 2: a refusal says that nothing ran, or that a repeat does no harm."""
        if q.cls.effect is api.Effect.SAFE or (q.ran is None and not q.out()):
            return True
        return q.cls.effect is api.Effect.KEYED and q.cls.scope is api.Scope.ALL

    def may_attempt(self, q: Query, ever: bool = False) -> bool:
        """Rules 2, 3, 5 and 7: may q be sent now (or ever again)? A list not renewed counts as a drain."""
        if q.done or len(q.attempts) >= self.s.limits.max_attempts or q.out():
            return False
        window = q.cls.repeat_window_us if q.cls.effect is api.Effect.KEYED else 0
        if q.ran is not None and q.cls.effect is not api.Effect.SAFE and self.now - q.ran.sent >= window:
            return False
        stale = not self.subscribed and self.now - (self.listed_at or 0) > (self.s.rules.must_ask_us or 0)
        return ever or (not stale and self.lines.turn(q, self.now) and (not q.attempts or self.budget_left()))

    def may_repeat(self, q: Query) -> bool:
        """May what is out be called off for another attempt?"""
        left = not q.done and len(q.attempts) < self.s.limits.max_attempts
        return left and q.cls.effect is api.Effect.SAFE and self.budget_left()

    def cold(self, e: EngineTable) -> bool:
        """Rule 4: is it so new, or may it be, that what it is sent is limited?"""
        started = max(e.info.started_us, e.info.latest_start_us)
        return self.s.rules.tip_multiple > 0 and started > max(self.now - self.s.rules.cold_us, 0)

    def part_cold(self) -> None:
        """Part the cold ones of the ready engines from those that the limit over all is for."""
        ready = [e for e in self.engines.values() if e.info.state is api.EngineState.READY]
        self.fresh = [e for e in ready if self.cold(e)]
        self.able = sum(e.cores for e in ready) - sum(e.cores for e in self.fresh)

    def budget_left(self) -> bool:
        """Rule 7: further attempts of the rolling window stay within the free few plus the share."""
        r = self.s.rules
        if r.budget_share is None:
            return True
        edge = self.now - r.budget_window_us
        allowed = r.budget_free + r.budget_share * self.taken.since(edge + 1)
        return self.extra.since(edge) + 1 <= allowed + 1e-9

    # Books

    def _arrived(self, ev: api.QueryArrived) -> None:
        ci = self.class_index[ev.class_name]
        self.queries[ev.id] = q = Query(ev, ci, self.s.classes[ci], self.now)
        self.taken.add(self.now)
        self.lines.add(q)
        self.arrived(q, ev)

    def _ended(self, ev: api.AttemptEnded) -> None:
        q, a = self.found(ev)
        if q is None or a is None:
            return
        a.open = False
        self.slots = max(0.0, self.slots - a.pool_charge) if len(self.queries) > 1 else 0.0
        q.ran = q.ran or (None if ev.outcome.never_ran else a)
        if q.key is not None and ev.outcome.may_still_run:
            self.lines.rested[q.key] = self.now + self.s.rules.key_rest_us
        a.engine.gave_back(q, a)
        self.account(q, a, ev)
        if ev.outcome not in (api.Outcome.TIMEOUT, api.Outcome.CANCELLED, api.Outcome.MOOT):
            a.engine.heard = self.now
        if ev.final:
            self.close(q)
        elif not q.done and not q.out():
            self.again(q)
        self.forget(q)
        self.pump(a.engine)

    def _noted(self, ev: api.Note) -> None:
        q, a = self.found(ev)
        if q is not None and a is not None:
            a.engine.heard = self.now
            self.noted(q, a, ev)

    def _probed(self, ev: api.ProbeEnded) -> None:
        e = self.engines.get(ev.engine)
        if e is None:
            return
        self.probed(e, ev)
        askers, e.askers = e.askers, []
        for q in askers:
            q.asked -= q.asked > 0
            if not q.asked and not q.done and not q.held and not q.attempts:
                self.offer(q)

    def _listed(self, ev: api.EngineList) -> None:
        first = self.listed_at is None
        if first:
            self.listed_at = self.now
        self.listed(ev, first)

    def ask(self, q: Query, e: EngineTable) -> None:
        """q waits for a probe of e, sent now unless one is out."""
        if not e.askers:
            e.probed = self.now
            self.acts.append(api.Probe(e.info.id))
        e.askers.append(q)
        q.asked += 1

    def asked_enough(self, q: Query) -> None:
        if q.asked and not q.done:
            q.asked = 0
            self.offer(q)

    def book(self, q: Query, a: Attempt) -> Attempt:
        """Book an attempt that goes out."""
        self.slots += a.pool_charge
        self.rates.sends += 1
        if q.attempts:
            self.extra.add(self.now)
        a.engine.took(q, a, q.weight)
        return a

    def held_at(self, e: EngineTable) -> None:
        e.holds += 1
        self.rates.holds += 1

    def end(self, q: Query, reason: api.EndReason) -> None:
        """The final answer here: a refusal where it is harmless, else a failure (rule 2)."""
        refusal = api.Refuse(q.id, self.s.limits.retry_after_us or 0, reason)
        self.acts.append(refusal if self.may_refuse(q) else api.Fail(q.id, reason))
        self.close(q)

    def cancel(self, q: Query, a: Attempt) -> None:
        if self.s.limits.cancel and not a.called_off and not q.streaming:
            a.called_off = True
            self.acts.append(api.CancelAttempt(q.id, a.n))

    def close(self, q: Query) -> None:
        """Nothing more is owed for q: nobody waits for what is out."""
        q.done = True
        self.held.leave(q)
        for a in q.out():
            self.cancel(q, a)
        self.forget(q)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Take an event at its time; return the actions to carry out now, in order."""
        self.now, self.acts = now_us, []
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        self.agenda.run(now_us)
        due = self.agenda.next()
        if due is not None and (not self.armed or due < self.armed):
            self.label, self.armed = self.label + 1, due
            self.acts.append(api.SetTimer(self.label, min(due - now_us, LONGEST_TIMER_US)))
        return self.acts

    def act(self, action: api.Action) -> None:
        self.acts.append(action)

    def _fired(self, ev: api.TimerFired) -> None:
        self.armed = 0 if ev.label == self.label else self.armed

    def _began(self, ev: api.StreamBegan) -> None:
        if ev.id in self.queries:
            self.queries[ev.id].streaming = True

    def _left(self, ev: api.ClientLeft) -> None:
        if ev.id in self.queries:
            self.close(self.queries[ev.id])

    def _closing(self, ev: api.Closing) -> None:
        """What is held and can't be done in time is refused now: its client still has time elsewhere."""
        self.ends_at = self.now + ev.ends_in_us
        for q in list(self.queries.values()):
            if q.held and self.ends_too_soon(q):
                self.end(q, api.EndReason.CLOSING)

    def ends_too_soon(self, q: Query) -> bool:
        """Can q be refused, and not be done before the gateway ends?"""
        return self.may_refuse(q) and self.now + q.work / q.cls.threads >= self.ends_at

    def _given_up(self, ev: api.GiveUp) -> None:
        q = self.queries.get(ev.id)
        if q is not None and not q.done:
            self.end(q, api.EndReason.GIVEN_UP)

    def found(self, ev: api.Note | api.AttemptEnded) -> tuple[Query, Attempt] | tuple[None, None]:
        """The query and attempt that an event speaks of, if that attempt is still out."""
        q = self.queries.get(ev.id)
        if q is None or not 0 <= ev.attempt < len(q.attempts) or not q.attempts[ev.attempt].open:
            return None, None
        return q, q.attempts[ev.attempt]

    def forget(self, q: Query) -> None:
        """Close the books on a query that is over and has nothing out; its key passes on after the rest."""
        if q.done and not q.out():
            self.queries.pop(q.id, None)
            self.lines.remove(q)
            self.wake(q.key)

    def wake(self, key: int | None) -> None:
        if key is not None:
            self.agenda.add(max(self.now, self.lines.rested.get(key, 0)), self._next_of, key)

    def _next_of(self, key: int) -> None:
        q = self.lines.first(key)
        if q is None and self.now >= self.lines.rested.get(key, 0):
            self.lines.rested.pop(key, None)
        if q is not None and q.held and not q.attempts and self.lines.turn(q, self.now):
            self.held.leave(q)
            self.offer(q)

    def relist(self, ev: api.EngineList) -> None:
        """Lay a list over the engines; a restarted engine starts afresh. Then who is open to each class."""
        failed = ev.kind is api.ListKind.FAILED
        if not failed or self.subscribed:
            self.listed_at = self.now
        if self.s.asks_for_list:  # the list a gateway comes up with is no answer to a call
            self.subscribed = not failed and ev.kind is not api.ListKind.CACHED
        if failed:
            return
        named = {i.id for i in ev.engines}
        tables = {i: e for i, e in self.engines.items() if ev.kind is api.ListKind.DELTA or i in named}
        for info in ev.engines:
            known = tables.get(info.id)
            if info.state is api.EngineState.GONE:
                tables.pop(info.id, None)
            elif known is not None and known.info.started_us == info.started_us:
                known.info = info
            else:
                kind = self.kinds.get(info.kind)
                sizes = (kind.cores, kind.memory_mb) if kind else (None, None)
                tables[info.id] = self.engine(info, *sizes)
                if known is not None:
                    tables[info.id].given = known.given
        self.engines = tables
        self.cores = sum(e.cores for e in tables.values()) or 1.0
        self.whole, self.able = any(e.whole for e in tables.values()), self.cores
        self.awake = {i: e for i, e in tables.items() if not e.whole or i in self.awake}
        ready = [e for e in tables.values() if e.info.state is api.EngineState.READY]
        self.open_for = [{e: None for e in ready if allows(c, e.info)} for c in self.s.classes]


def allows(c: api.QueryClass, engine: api.Engine) -> bool:
    """Placement as the class's settings state it."""
    in_zone = c.only_zones is None or engine.zone in c.only_zones
    return in_zone and (c.only_kinds is None or engine.kind in c.only_kinds)


def parted(values: Iterable[float], parts: int) -> list[float]:
    """Lower bounds of all but the first of `parts` that share the sum of the values evenly."""
    ranked = sorted(values)
    bounds: list[float] = []
    total, so_far = sum(ranked), 0.0
    for value in ranked:
        so_far += value
        while len(bounds) < parts - 1 and so_far >= total * (len(bounds) + 1) / parts:
            bounds.append(value)
    return bounds + [ranked[-1]] * (parts - 1 - len(bounds))
