"""Every decision of the admission controller. Its types, events and actions: hollowhitch/policy/interface.py.

Constants first, then estimate to guards. Books, clock and what told rules allow: hollowhitch/policy/state.py.
"""

from __future__ import annotations

import math
import zlib

from hollowhitch.policy import interface as api
from hollowhitch.policy.state import Answered, Attempt, ClassTable, EngineTable, Ledger, Query

STEP = 0.05  # weight of one outcome in a class's corrections: told estimates scatter widely
CLEAN_QUANTILE, RATIO_MOST = 0.2, 1.0  # without bills: a class's fast outcomes are clean; bound of the log
FIRST_WORK = 0.25  # of the aim: a class's usual work and time until something was seen
SAMPLE, REBIN = 256, 32  # estimates kept for the class bounds, and how often these are drawn anew
WARM_SETS, WARM_GAIN = 4, 0.8  # data sets taken as warm on an engine; work left when one is
GRANT, MEMORY_MOST, SOFT_MEMORY = 1.25, 1.1, 0.8  # usual grant over estimate; share given out; soft limit
SPILL_STEP, FIT_STEP, SHORT_MOST = 0.2, 0.01, math.log(3.0)  # of a class's lack of memory: spill, fit, most
ASSUMED_CORES, CAPACITY = 8.0, 0.85  # cores where untold; busy share at which an engine does all it can
SMOOTH, GAIN, SWEEP_US = 0.3, 1.0, 100_000  # weight of the newest error; of a feedback step; between rounds
SHARE_STEP, OFFERED_STEP = 0.05, 0.03  # weight of a round in our share of answered and of offered work
BUSY, CALM, IDLE = 0.93, 0.8, 0.6  # a reported share above this is pressure; below: room; no contention
THREADS = 1.5  # a core's threads at the limit: some always wait for disks; past this work is lost
CLUMPS, LIGHT_MORE, UNHEARD = 0.5, 2.0, 0.25  # deviations in a limit; times it, if light; of room, unheard
FEW_SLOTS = 2.0  # a smaller part of an engine than this is counted in the engine's whole slots
TENSE, TENSE_STRETCH = 0.25, math.log(2.0)  # share of reports under pressure, latency over best: all are full
CROWD, CALM_CROWD = 1.3, 3.0  # own slots over the limit that foretell latency far above best
STRETCH, SLACK = math.log(3.0), 0.1  # so is latency over best (log); share of the aim in any best
STRETCH_MOST = math.log(4.0)  # of one outcome: a few that stood still behind a load are no crowd
STRETCH_STEP, STRETCH_FADE = 0.15, 0.98  # weight of an outcome; fade per sweep back to average
FULL_US, FEW_FULL_US, FRESH_US = 1_000_000, 4_000_000, 2_000_000  # belief: full; in whole slots; a report
PROBE_US, ASK_WAIT_US = 500_000, 25_000  # age of a report that calls for a probe, at 0.01 each; wait for it
CROSS_COST, FADE_US = 10.0, 4_000_000  # a zone crossed, times its price; a report fades as queries end
PARTED, SETS_MOST = 3, 256  # engines from which on loads are kept apart; data sets whose parts are kept
DRAWS, TRIES = 6, 12  # engines drawn to find two candidates; looked at where these do not take a query
NEWEST, SCOUTS = 8, 0.1  # answers drawn from; lightest queries that, with none left, go to any engine
QUOTA_US, FEW_QUOTA_US = 1_000_000, 15_000_000  # slack of a tenant's quota; where our part is a few queries
PATIENCE, FEW_PATIENCE = 0.5, 2.0  # of the time to spare that held work may take; where our part is small
QUOTA_MORE, ERROR_TIMES = 1.3, 2.0  # of our part: traffic is never even; others' mean failures, on top
DRAIN_STEP, DRAIN_LEAST = 0.1, 0.2  # weight of a round in the drain rate; its least, in our even part
SILENT_US, OVERDUE = 1_000_000, 4.0  # silent: says nothing so long with work this far past its time
STALL_US, COLD_SAFETY, COLD_TURNS = 300_000, 0.6, 2  # late timer: we stood still; of a cold budget; gateways
DOUBT_SHARE = 0.2  # of the time in which an engine warms up: the most that its age may be in doubt by
ERROR_SHARE, ERROR_STEP, ILL_MOST = 0.3, 0.15, 0.5  # failures that eject; weight of one; ill: a shared cause
EJECT_US, EJECT_MOST_US = 2_000_000, 8_000_000  # rest before a trial; doubles while trials fail
STUCK, STUCK_AIM = 2.0, 0.1  # times its expected time, and share of the aim, after which an attempt is stuck
LOCKED = 0.5  # of a load's usual time: what one that held an attempt up may have left
BAD_PLAN, BAD_PLAN_US = 4.0, 1_000_000  # time left, in fresh attempts and beyond, that is called off
TICKS_AHEAD, ASK_US = 2.2, 500_000  # batches before its client gives up; before asking for a list again

Effect, EndReason, Outcome = api.Effect, api.EndReason, api.Outcome


class Controller(Ledger):
    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed, SAMPLE, REBIN)
        self.classes = [ClassTable(c.aim_us * FIRST_WORK) for c in settings.classes]
        self.answered = Answered()
        self.apart: dict[tuple[int, int], dict[EngineTable, None]] = {}  # by class and data set
        self.ours: list[EngineTable] = []  # cold engines with which we have a turn

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        # Danger: we stood still, and find at once what came meanwhile. No latency is read for a round.
        if self.armed and now_us - self.armed > STALL_US:
            self.steady_at = now_us + SWEEP_US
        return super().handle(now_us, event)

    # ---- estimate: told cost and memory, corrected per class; four classes each share the work evenly

    def arrived(self, q: Query, ev: api.QueryArrived) -> None:
        known = self.classes[q.ci]
        q.work = ev.cost_us * math.exp(known.ratio) if ev.cost_us > 0 else known.mean_work
        q.mem = ev.memory_mb * math.exp(known.mem_ratio)
        known.mean_work += STEP * (q.work - known.mean_work)
        q.grant, q.weight = GRANT * ev.memory_mb * math.exp(known.short), max(q.work, known.mean_work)
        q.aim = self.now + min(q.cls.aim_us + q.cls.aim_stretch * q.work / q.cls.threads, q.cls.deadline_us)
        q.bins = (self.costs.place(q.work), self.memories.place(q.mem))
        self.offered += q.work
        slack = FEW_QUOTA_US if self.whole else QUOTA_US  # few queries a second come in clumps
        q.over = ev.tenant in self.quotas and not self.quotas[ev.tenant].take(self.now, slack / 1e6)
        q.answer_by = q.expires - TICKS_AHEAD * self.s.tick_us
        if q.answer_by <= self.now:
            return self.end(q, EndReason.NO_TIME)
        if self.ends_too_soon(q):
            return self.end(q, EndReason.CLOSING)
        self.agenda.add(q.answer_by, self._due, q)
        q.two = self._draw(q)
        self._ask_first(q)

    def _ask_first(self, q: Query) -> None:
        """Probes follow our own queries: the two candidates, if their report is old; no light query waits."""
        age = PROBE_US * max(1.0, self.s.prices.probe * 100)
        light = self.whole and not any(q.bins)
        for e in q.two if self.s.limits.probes and self.s.reports_with_probes and not light else ():
            if e.askers or self.now - max(e.probed, e.report_at) >= age:
                self.ask(q, e)
        if q.asked:
            return self.agenda.add(self.now + ASK_WAIT_US, self.asked_enough, q)
        self.offer(q)

    def _learn(self, q: Query, ev: api.AttemptEnded, e: EngineTable) -> None:
        known, (cost, memory), billed = self.classes[q.ci], q.told, self.s.bills and ev.work_us > 0
        if billed and not cost:
            known.mean_work += STEP * (ev.work_us - known.mean_work)
        elif billed:
            known.ratio += STEP * (math.log(ev.work_us / cost) - known.ratio)
        elif cost > 0 and self._calm(e, IDLE):
            below = math.log(max(ev.elapsed_us * q.cls.threads, 1) / cost) < known.ratio
            known.ratio = min(max(known.ratio + STEP * (CLEAN_QUANTILE - below), -RATIO_MOST), RATIO_MOST)
        if billed and memory > 0 and ev.memory_mb > 0:
            known.mem_ratio += STEP * (math.log(ev.memory_mb / memory) - known.mem_ratio)
        known.short = max(0.0, known.short - FIT_STEP)
        known.usual_us += STEP * (ev.elapsed_us - known.usual_us)
        if self.whole and (r := self._report(e)) and r.busiest < CALM:  # spills and locks are no crowd
            self.best += STEP * (min(q.over_best(ev.elapsed_us, SLACK), STRETCH_MOST) - self.best)
        self._took(q, ev, e)

    def _took(self, q: Query, ev: api.AttemptEnded, e: EngineTable) -> None:
        over = min(q.over_best(ev.elapsed_us, SLACK), STRETCH_MOST) - self.best
        e.stretch += STRETCH_STEP * (over - e.stretch)
        self.stretch += STRETCH_STEP * (over - self.stretch)

    # ---- charge: alpha x (half the cost bound + half the memory bound, each over its top) + 1

    def _charge(self, q: Query, limit: float, big: float) -> float:
        both = zip(q.bins, (self.costs.bounds, self.memories.bounds), strict=True)
        return (limit / big - 1) * sum(b[k - 1] / b[2] for k, b in both if k and b[2] > 0) / 2 + 1

    def _pool_charge(self, q: Query) -> tuple[float, float]:
        """Departure: a limit, in threads, of our own over all engines, where our part of one is too small."""
        calm = min(1.0, THREADS / math.exp(max(self.stretch, 0.0)))
        # No more than our share of what the engines do: with more offered, by retries too, they do no more.
        mean = THREADS * self.able * min(self.offered_share, max(self.share, self.even)) * calm * calm
        limit = max(1.0, mean + CLUMPS * math.sqrt(mean))  # not all: under pressure all have clumps at once
        return limit, self._charge(q, limit, max(1.0, self.steep * limit)) + q.cls.threads - 1

    def _pool_fits(self, q: Query) -> bool:
        crowded = self.busy >= IDLE / 2  # an average that hides some engines twice as busy
        signs = (self.tense >= TENSE) + (self.stretch >= TENSE_STRETCH) + crowded
        # Reports not asked for come too late: one sign will do. One query may always be out.
        if not self.whole or not self.slots or signs < (2 if self.s.limits.probes else 1):
            return True
        limit, charge = self._pool_charge(q)
        return self.slots + charge <= limit * (1.0 if q.bins[0] else LIGHT_MORE)

    def _report(self, e: EngineTable) -> api.LoadReport | None:
        return e.report if self.now - e.report_at < FRESH_US else None

    def _hear(self, e: EngineTable, report: api.LoadReport | None) -> None:
        e.heard_report(report, self.now)
        if report is not None and e.whole:
            self._wake(e)
        if report is not None and e.whole and not self.cold(e):  # averages, for the engines not heard
            self.average(STEP, report, self._tasks(e, report), self._pressure(e))

    def _calm(self, e: EngineTable, below: float) -> bool:
        r = self._report(e)
        low = e.threads < e.limit / 2 if r is None else r.busiest < below
        return low and self.now - e.heard < SILENT_US

    def _full(self, e: EngineTable) -> bool:
        return e.full_at is not None and self.now - e.full_at < (FEW_FULL_US if e.whole else FULL_US)

    def _used(self, e: EngineTable) -> float:
        """Slots in use: ours; where our part is below a few slots, all gateways', as reported."""
        r = self._report(e)
        if not e.whole:
            return e.slots
        if self._full(e):
            return math.inf
        if r is None:  # unheard counts as the average of those heard
            return e.slots + self.crowd * e.cores * (self.now - self.crowd_at < FRESH_US and not self.cold(e))
        return max(self._tasks(e, r) * e.cores + e.newer, e.slots)

    def _tasks(self, e: EngineTable, r: api.LoadReport) -> float:
        """Threads a core, all gateways'; busy cores stop telling at 1, latency over best goes on."""
        util = r.util or 0.0
        tasks = max(util, math.exp(e.stretch)) if util > BUSY else util
        return tasks if r.running is None else r.running / e.cores

    def _pressure(self, e: EngineTable, charge: float = 0.0) -> bool:
        r = self._report(e)
        if r is not None and (r.busiest > BUSY or (r.waiting or 0) > 0):
            return True
        room = CALM if r is not None and r.memory is not None else IDLE  # cores alone do not show all
        crowd = e.slots + charge > (CALM_CROWD if self._calm(e, room) else CROWD) * e.limit
        crowd = crowd or (e.whole and self._used(e) + charge > e.limit)
        return crowd or e.stretch > STRETCH or self._full(e)

    def _admits(self, e: EngineTable, q: Query) -> bool:
        """The slot limit binds only under pressure; over-share work is then the first to go."""
        charge, r = self._charge(q, e.limit, e.big), self._report(e)
        if self._pressure(e, charge) and (q.over or self._used(e) + charge > e.limit + 1e-9):
            return False
        if e.whole:
            return self._memory_fits(e, q)
        if r is None or r.memory is None or not e.memory or q.grant <= 0 or not e.out:
            return True
        # Departure: memory is always a limit. A report is late: grants since, less ends, are taken as alike.
        return r.memory * e.memory + e.newly_granted / self.even + q.grant <= MEMORY_MOST * e.memory

    def _memory_fits(self, e: EngineTable, q: Query) -> bool:
        """Departure: hardly any of many gateways has work at an engine. Its report binds even so. One that is
        not heard may page, and answer nobody for that: only what hardly matters goes there, to hear of it."""
        if not e.memory or q.grant <= 0 or len(self.queries) == self.held.count:  # one may always be out
            return True
        r = self._report(e)
        granted = r.memory or 0.0 if r else 0.0 if self.cold(e) else self.granted
        room = (MEMORY_MOST - granted) * e.memory - e.newly_granted
        return q.grant <= room if r else not q.bins[1] or q.grant <= UNHEARD * room

    # ---- route: of two random ready engines, the one with less estimated own work

    def _score(self, e: EngineTable, q: Query) -> float:
        own = e.own_work + q.work * (WARM_GAIN if q.data_set in e.warm else 1.0)
        score = own / e.cores * math.exp(max(e.stretch, 0.0))
        r, away = self._report(e), e.info.zone != self.s.zone
        busy = r.busiest if r else self.busy  # unheard counts as the average of those heard
        return score * (1 + CROSS_COST * self.s.prices.cross_zone * away) / max(0.1, 1.1 - busy)

    def _stands(self, e: EngineTable, q: Query) -> bool:
        """Would q stand still there, behind a load of ours, or behind one that held an attempt of ours up?"""
        if not (q.cls.waits_for_loads or q.cls.is_load):
            return False
        ours = any(o.cls.is_load and o.data_set == q.data_set for o in e.out.values())
        return ours or e.locked.get(q.data_set, 0) > self.now

    def _place(self, q: Query, only: EngineTable | None = None) -> bool:
        if not self.may_attempt(q):
            return False
        pool, apart = self.open_for[q.ci], self._apart(q)
        if not self._pool_fits(q):  # which a turn with a cold engine is no part of
            pool = {e: None for e in self.ours if e in pool}
        if only is not None:
            pool = [only] if only in pool and only in apart else []
        for some in (q.two, apart, pool) if only is None else (pool,):
            if len(some) > TRIES:
                some = self.rng.sample(list(some), TRIES)
            fit = [e for e in some if e in pool and self._may_use(e, q) and self._admits(e, q)]
            fit = [e for e in fit if not self._stands(e, q)]  # held, it takes the first that gets free
            if fit:  # of two: to the least busy of many all gateways go at once
                return self._send(q, min(fit[:2] if self.whole else fit, key=lambda e: self._score(e, q)))
        return False

    def _apart(self, q: Query) -> dict[EngineTable, None]:
        """Departure: what stands still behind a load is late, and other gateways' loads are not told. So all
        send the loads of a data set to the same half of the engines, and what waits for loads to the rest."""
        pool = self.open_for[q.ci]
        if len(pool) < PARTED or not (q.cls.is_load or q.cls.waits_for_loads):
            return pool
        if (q.ci, q.data_set) not in self.apart:
            if len(self.apart) >= SETS_MOST:
                self.apart.clear()
            ranked = sorted(pool, key=lambda e: zlib.crc32(f"{q.data_set} {e.info.id}".encode()))
            half = len(pool) // 2
            first = self.s.gateway % half  # each begins with another, so that their loads seldom meet
            homes = ranked[first:half] + ranked[:first]
            self.apart[q.ci, q.data_set] = dict.fromkeys(homes if q.cls.is_load else ranked[half:])
        return self.apart[q.ci, q.data_set]

    def _draw(self, q: Query) -> list[EngineTable]:
        pool = self._apart(q)
        if self.whole:
            # Departure: hardly any engine has own work; where a report shows room, all go. So draw from those
            # whose answer no send of ours has followed: who stands still gets no more. Cold ones go first.
            scout = not q.bins[0] and self.rng.random() < SCOUTS  # or nobody finds who is well again
            heard = [e for e in self.awake.values() if self._report(e) and not scout]
            for some in (self.ours, self.answered.since(self.now - FADE_US)[:NEWEST], heard):
                if fit := [e for e in some if e in pool and self._may_use(e, q)]:
                    return self.rng.sample(fit, min(2, len(fit)))
        elif q.cls.is_load:  # where none of ours is: else it would stand still, though later than it need
            usable = [e for e in self.open_for[q.ci] if self._may_use(e, q)]
            homes, free = ([e for e in pool if e in usable], [e for e in usable if not self._stands(e, q)])
            return ([e for e in homes if e in free] or free or homes)[:2]
        some = [e for e in self.rng.sample(list(pool), min(DRAWS, len(pool))) if self._may_use(e, q)]
        return some[:2] if len(some) > 1 else [e for e in pool if self._may_use(e, q)][:2]

    def _send(self, q: Query, e: EngineTable) -> bool:
        charges = self._charge(q, e.limit, e.big), 0.0 if self.cold(e) else self._pool_charge(q)[1]
        a = self.book(q, Attempt(q, len(q.attempts), e, self.now, *charges, q.work))
        self._wake(e)
        self.answered.use(e)
        timeout = 0
        if e.ejected_until:  # a trial, ended in good time where it cannot be called off
            e.trial, timeout = a, 0 if self.s.limits.cancel else int(self._overdue_us(q))
        grant = q.grant if self.s.grants and self.classes[q.ci].short > 0 else 0.0
        # Light queries earn more worth per work; work over its share or past its aim comes last.
        priority = 0 if q.over or self.now > q.aim else (3, 2, 2, 1)[q.bins[0]]
        if grant or (self.s.priorities and priority != q.priority):
            q.priority = priority
            self.acts.append(api.SetTerms(q.id, grant, priority if self.s.priorities else 1))
        self.acts.append(api.Send(q.id, e.info.id, timeout))
        if q.cls.effect is Effect.SAFE:
            self.agenda.add(self.now + self._patience_us(q, e), self._stuck, a)
        return True

    # ---- hold: the oldest fitting query leaves first; one that cannot make its time is refused early

    def offer(self, q: Query) -> None:
        bound = q.data_set if q.cls.is_load or q.cls.waits_for_loads else None
        ran = q.ran and q.ran.engine.info
        group = (q.ci, bound, q.bins, q.over, ran and ran.zone, ran and ran.cell)
        older = self.held.head(group)  # one alike that did not fit either
        turn = self.lines.turn(q, self.now)
        if older is None and turn and self._place(q):
            return
        slow = math.exp(max(self.stretch + self.best, 0.0)) if self.whole else 1.0  # what answers take now
        late = min(q.aim, q.expires) - q.work / q.cls.threads * slow
        if self.may_refuse(q) and self.open_for[q.ci] and (late <= self.now or q.over):
            return self.end(q, EndReason.OVER_SHARE if q.over else EndReason.MISSES_AIM)
        self.agenda.add(max(late, self.now + 1), self._due, q)
        self.held.add(group, q, q.cls.worth / max(q.work, 1), in_line=turn)
        if not turn:
            self.wake(q.key)
        elif self.open_for[q.ci]:  # every held arrival counts, behind an older one too
            self.held_at(self.rng.choice(list(self.open_for[q.ci])))
        # Danger: held work that ages together is all answered late. Catches any lasting overload: what earns
        # least for its work is refused first; hurts where estimates are reversed. A small part keeps one.
        patience = FEW_PATIENCE if self.whole else PATIENCE
        most = self.drain * patience * max(late - self.now, 0) / 1e6
        while self.held.work > most and self.held.count > self.whole:
            if (worst := self.held.least_worth(self.may_refuse)) is None:
                break
            self.end(worst, EndReason.LEAST_WORTH)

    def _due(self, q: Query) -> None:
        if not q.done and not q.streaming and (self.now >= q.answer_by or (q.held and self.may_refuse(q))):
            self.end(q, EndReason.NO_TIME if self.now >= q.answer_by else EndReason.MISSES_AIM)

    def pump(self, only: EngineTable | None = None) -> None:
        if only is None or not self._pressure(only) or only.slots + 1 <= only.limit:
            self.held.oldest_first(lambda q: self._place(q, only))

    # ---- feedback: the smoothed error moves numBigQueries, more so the more of the arrivals are held

    def _sweep(self, _: None) -> None:
        self.agenda.add(self.now + SWEEP_US, self._sweep, None)  # first: a fault below ends no sweeps
        self._estimate_share()
        for e in list(self.awake.values()):
            self._feedback(e)
            self._check_silence(e)
            if self.whole and not e.out and self._report(e) is None:
                del self.awake[e.info.id]
        self.pump()

    def _wake(self, e: EngineTable) -> None:
        """Only engines in use are swept; one that slept has faded back and charges as the average."""
        if e.info.id not in self.awake:
            self.awake[e.info.id] = e
            e.stretch = self._faded(e, (self.now - e.swept) / SWEEP_US)
            e.big = max(1.0, self.steep * e.limit) if self.now - e.swept > FRESH_US else e.big

    def _estimate_share(self) -> None:
        # Our answered work over the busy cores reported: what an overfilled engine wastes shrinks the limits.
        reports = [(e, r) for e in self.awake.values() if (r := self._report(e)) is not None]
        busy, heard = sum((r.util or 0.0) * e.cores for e, r in reports), sum(e.cores for e, _ in reports)
        served, offered = self.served / SWEEP_US, self.offered / (SWEEP_US * CAPACITY * self.cores)
        if busy > 0:
            self.share += SHARE_STEP * (min(served * heard / (busy * self.cores), 1.0) - self.share)
        least = (1.0 if self.whole else DRAIN_LEAST) * 1e6 * self.even * self.cores
        self.drain = max(self.drain + DRAIN_STEP * (served * 1e6 - self.drain), least, 1.0)
        self.offered_share += OFFERED_STEP * (min(offered, 1.0) - self.offered_share)
        self.served = self.offered = 0.0
        share = max(self.share, self.even, self.offered_share if self.whole else 0.0)
        for bucket in self.quotas.values():
            bucket.part = min(1.0, QUOTA_MORE * share)  # swamped, we carry more of each quota too
        self._take_turns()
        self.rates.smooth(SMOOTH, SWEEP_US)
        for e in () if self.whole else self.engines.values():
            scale = max(1.0, THREADS * e.cores * share) / e.limit
            e.limit, e.big = e.limit * scale, e.big * scale

    def _feedback(self, e: EngineTable) -> None:
        e.smooth(SMOOTH, SWEEP_US)
        r, e.swept = self._report(e), self.now
        seen = 2 * r.util / CAPACITY if r and r.util is not None else 0.0
        tasks = max(seen, math.exp(e.stretch)) if not seen or self._pressure(e) else seen
        waiting = (r.waiting or 0) * self.even / max(len(e.out), 1) if r else 0.0  # a running query
        e.error += SMOOTH * (tasks - 2 + _memory_error(min(waiting, 1.0)) - e.error)
        # In whole slots few queries meet one engine: the rates are pooled, and scaled to all gateways.
        rates, scale = (self.rates, 1 / (self.even * len(self.engines))) if e.whole else (e, 1.0)
        hold, send = rates.hold_rate * scale, rates.send_rate * scale
        e.big = min(max(e.big - e.error * hold / (hold + send + 1) * GAIN, 1.0), e.limit)
        self.steep += STEP * (e.big / e.limit - self.steep)

    # ---- health: errors and silence eject; one trial brings an engine back

    def _may_use(self, e: EngineTable, q: Query) -> bool:
        if q.attempts and q.attempts[-1].engine is e and len(self.open_for[q.ci]) > 1:
            return False
        trial = self.now >= e.ejected_until and e.trial is None and q.cls.effect is Effect.SAFE
        well = not e.ejected_until or trial or self.all_ill
        return well and q.stays_inside(e.info) and self._cold_fits(e, q)

    def _eject(self, e: EngineTable, reason: str) -> None:
        if e.ejected_until and e.trial is None:
            return
        self.acts.append(api.HealthChanged(e.info.id, "ejected", reason))
        e.trials += e.trial is not None
        e.ejected_until, e.trial = self.now + min(EJECT_US * 2**e.trials, EJECT_MOST_US), None
        self._judge_pool()

    def _judge_pool(self) -> None:
        self.all_ill = sum(e.ejected_until > 0 for e in self.engines.values()) > ILL_MOST * len(self.engines)

    def _bad_news(self, e: EngineTable) -> None:
        """Danger: answers that get lost or spoilt under way, which shows at all engines alike."""
        e.failing += ERROR_STEP * (1 - e.failing)
        others = [o.failing for o in self.engines.values() if o is not e]
        if e.failing > ERROR_SHARE + ERROR_TIMES * sum(others) / max(len(others), 1):
            self._eject(e, "failures")

    def _overdue_us(self, q: Query) -> float:
        return SILENT_US + OVERDUE * max(q.work / q.cls.threads, self.classes[q.ci].usual_us)

    def _faded(self, e: EngineTable, rounds: float) -> float:
        average = self.stretch if e.whole else 0.0  # which is what unheard engines count
        return average + (e.stretch - average) * STRETCH_FADE**rounds

    def _check_silence(self, e: EngineTable) -> None:
        """Danger: an engine that takes work and answers nothing. Catches any silence, a cut network too."""
        e.stretch = self._faded(e, 1)
        if not e.out or self.now < self.steady_at:
            return
        (_, n), q = list(e.out.items())[len(e.out) // 2]  # what is out and old tells before outcomes do
        late = min(q.over_best(self.now - q.attempts[n].sent, SLACK), STRETCH_MOST) - self.best
        e.stretch += STRETCH_STEP * max(late - e.stretch, 0)
        if not self.s.limits.probes:  # reports come with answers only: work out long is the first sign
            self.stretch += STRETCH_STEP * max(late - self.stretch, 0) / len(self.awake)
        (_, n), q = next(iter(e.out.items()))
        if self.now - e.heard >= SILENT_US and self.now - q.attempts[n].sent >= self._overdue_us(q):
            self._eject(e, "silence")
            for (_, n), q in () if self.all_ill else list(e.out.items()):
                self._call_off(q, n)

    def _patience_us(self, q: Query, e: EngineTable) -> float:
        return STUCK * q.work / q.cls.threads * math.exp(max(e.stretch, 0.0)) + STUCK_AIM * q.cls.aim_us

    def _stuck(self, a: Attempt) -> None:
        """Danger: a bad plan, a load's lock, a lost answer. Catches any attempt far past its time while
        another engine would take it; hurts if estimates lie low."""
        q = a.query
        if q.done or not a.open or a.called_off or self.now < self.steady_at:
            return
        wait = a.sent + self._patience_us(q, a.engine) - self.now
        fresh = self.now + q.work / q.cls.threads * math.exp(max(self.stretch, 0.0))
        if wait > STUCK_AIM * q.cls.aim_us:  # its engine has slowed down since
            return self.agenda.add(self.now + wait, self._stuck, a)
        if q.cls.waits_for_loads:
            self._mark(a.engine, q.data_set)
        ends = q.expires if self.now > q.aim and q.cls.late_share else q.aim
        others = (e for e in self._apart(q) if e is not a.engine and self._may_use(e, q))
        if fresh < ends and any(self._admits(e, q) and not self._stands(e, q) for e in others):
            self._call_off(q, a.n)

    def _mark(self, e: EngineTable, data_set: int) -> None:
        """Another gateway's load seems to hold it there: nothing else tells of those."""
        e.locked = {d: until for d, until in e.locked.items() if until > self.now}
        usual = (k.usual_us for k, c in zip(self.classes, self.s.classes, strict=True) if c.is_load)
        e.locked[data_set] = self.now + LOCKED * max(usual, default=0)

    def _call_off(self, q: Query, n: int) -> None:
        if self.may_repeat(q):
            self.cancel(q, q.attempts[n])

    def noted(self, q: Query, a: Attempt, ev: api.Note) -> None:
        known = self.classes[q.ci]
        if ev.kind is api.NoteKind.SPILLS and ev.value > 0 and q.grant > 0:
            # Danger: estimates of memory that lie low, so that queries spill and do several times their work.
            known.short = min(known.short + SPILL_STEP * math.log(1 + ev.value / q.grant), SHORT_MOST)
        if ev.kind is api.NoteKind.PROGRESS and ev.value > 0:
            # Danger: a bad plan. Catches any attempt far slower than a fresh one; hurts if estimates lie low.
            left = (self.now - a.sent) * (1 - ev.value) / ev.value
            fresh = q.work / q.cls.threads * math.exp(max(a.engine.stretch, 0.0))
            if left > BAD_PLAN * fresh + BAD_PLAN_US and self.now + fresh < q.expires:
                self._call_off(q, a.n)

    def probed(self, e: EngineTable, ev: api.ProbeEnded) -> None:
        self._hear(e, ev.report)
        self.pump(e) if ev.outcome is Outcome.OK else self._bad_news(e)

    # ---- the end of an attempt

    def again(self, q: Query) -> None:
        """No attempt is out any more: another, unless the whole pool is ill and work would be lost again."""
        more = self.may_attempt(q, ever=True) and not (self.all_ill and q.ran)
        q.two = self._draw(q)
        self.offer(q) if more else self.end(q, EndReason.NO_ATTEMPT_LEFT)

    def account(self, q: Query, a: Attempt, ev: api.AttemptEnded) -> None:
        """A failed attempt keeps its charge for its class's usual time, so fast errors never look light."""
        e, o = a.engine, ev.outcome
        self._hear(e, ev.report)
        if o is Outcome.OK:
            e.release(a)
            e.locked.pop(q.data_set, None)
            e.failing -= ERROR_STEP * e.failing
            for other in q.blamed:
                self._bad_news(other)
            self.served += a.work
            if e.whole and (r := self._report(e)) is not None and r.busiest < CALM:
                self.answered.add(self.now, e)
            if self.now >= self.steady_at:
                self._learn(q, ev, e)
            if e.ejected_until and (e.trial is a or e.failing < ERROR_SHARE):
                e.ejected_until, e.trial, e.failing, e.trials = 0, None, 0.0, 0
                self.acts.append(api.HealthChanged(e.info.id, "taken back", "answered"))
                self._judge_pool()
            return
        keep = 0 if o is Outcome.MOOT else a.sent + self.classes[q.ci].usual_us - self.now
        self.agenda.add(self.now + max(keep, 0), e.release, a)
        if o is Outcome.CANCELLED and self.whole and not q.done and self.now >= self.steady_at:
            self._took(q, ev, e)  # too long: where few answers come, they would tell of the fast ones alone
        if o is Outcome.FULL:
            e.full_at = self.now
            self.tense += STEP * (1 - self.tense)
        elif o is Outcome.CONNECT_FAILED and not (e.out and self._report(e)):  # else it lives: no room
            self._bad_news(e)
        elif o in (Outcome.ERROR, Outcome.RESET) and e not in q.blamed:
            q.blamed.append(e)  # it may be the query's own fault: told by how it fares elsewhere
        if e.trial is a:
            self._eject(e, "trial failed")

    # ---- guards of the rules; what the told rules allow of attempts and answers is counted in state.py

    def _cold_fits(self, e: EngineTable, q: Query) -> bool:
        """Rule 4: a just started engine gets our part of the told budget in any window, on the safe side."""
        if not self.cold(e):
            return True
        part = self._cold_budget(e) * (1 / COLD_TURNS if e.whole else self.even)
        window_us = self.s.rules.tip_after_us
        given, turn = e.given.since(self.now - window_us), self._turn(e) if e.whole else 1.0
        return turn <= 1 and given + q.weight * (1 if given else max(turn, 0.5)) <= part

    def _cold_budget(self, e: EngineTable) -> float:
        """Work, in core microseconds, that all gateways may send a cold engine in one window."""
        r = self.s.rules
        age = self.now - max(e.info.latest_start_us, e.info.started_us)
        # How it warms up is not told: half of a straight way is taken.
        able = r.start_capacity + (1 - r.start_capacity) / 2 * min(age / r.cold_us, 1.0)
        return COLD_SAFETY * r.tip_multiple * able * e.cores * CAPACITY * r.tip_after_us

    def _turn(self, e: EngineTable) -> float:
        """Departure: where an even part is less than a query, a few have turns, as long as a window and drawn
        alike by all. What is more than a turn's part, twice at most, takes luck in that draw."""
        n = int((self.now - e.info.started_us) * COLD_TURNS / max(self.s.rules.tip_after_us, 1))
        return e.turn(range(n - COLD_TURNS, n), self.gateways, self.s.gateway)

    def _take_turns(self) -> None:
        self.part_cold()
        self.ours = [e for e in self.fresh if e.whole and self._turn(e) <= 1]

    def listed(self, ev: api.EngineList, first: bool) -> None:
        """Rule 3: a drain counts at once. Rule 6: each class keeps its own list of engines open to it."""
        if first:
            self.agenda.add(self.now + SWEEP_US, self._sweep, None)
        if self.s.asks_for_list and (first or ev.kind is api.ListKind.FAILED):
            self.agenda.add(self.now + (0 if first else ASK_US), self.act, api.Subscribe())
        self.relist(ev)
        self.apart.clear()
        self._take_turns()
        self._judge_pool()
        self.pump()

    def engine(self, info: api.Engine, cores: float | None, memory: float | None) -> EngineTable:
        cores = cores or ASSUMED_CORES
        part = THREADS * cores * self.even
        limit = THREADS * cores if part < FEW_SLOTS else part
        return EngineTable(info, cores, memory or 0.0, max(1.0, limit), WARM_SETS, self.now, part < FEW_SLOTS,
                           self.s.rules.tip_after_us)


def tolerated_doubt_us(rules: api.Rules) -> float:
    """By how much a cold engine may pass for older than it is: the budget's safety factor covers that."""
    covered = (1 / COLD_SAFETY - 1) * rules.start_capacity * 2 / max(1 - rules.start_capacity, 1e-9)
    return rules.cold_us * min(covered, DOUBT_SHARE)


def _memory_error(memory: float) -> float:
    """The paper's ramp: 0 to 2 from a quarter of the soft limit to it, then to 4 at capacity."""
    low = max(0.0, memory / SOFT_MEMORY - 0.25) / 0.75 * 2
    return low if memory <= SOFT_MEMORY else 2 + 2 * (memory - SOFT_MEMORY) / (1 - SOFT_MEMORY)
