"""Constants of the controller.

Names that end in _US are times in microseconds, names that contain SHARE are fractions of 1, and names that
end in _LOG are natural logarithms. An EWMA weight is the weight of the newest sample in an exponentially
weighted moving average. An engine's latency ratio is the latency of its queries over their best latency.
"""

from __future__ import annotations

import math

# Estimation of work and memory

# EWMA weight of one outcome in the corrections of a query class and in the averages over all engines.
CORRECTION_WEIGHT = 0.05
# Share of a class's outcomes that count as undisturbed by other queries, where engines report no usage.
UNDISTURBED_QUANTILE = 0.2
# Bound on the absolute log of true over estimated cost, where engines report no usage.
MAX_COST_RATIO_LOG = 1.0
# Mean work and typical latency of a class before its first outcome, as a share of its latency target.
INITIAL_WORK_TARGET_SHARE = 0.25
# Number of recent estimates from which the bounds of the cost bins and of the memory bins are computed.
BIN_SAMPLE_SIZE = 256
# Number of new estimates after which the bounds of the cost bins and of the memory bins are computed again.
BIN_UPDATE_INTERVAL = 32
# Number of most recently used data sets that count as warm (cached) on an engine.
MAX_WARM_DATA_SETS = 4
# Work of a query whose data set is warm, as a share of its usual work.
WARM_WORK_SHARE = 0.8

# Memory

# Ratio of a query's default memory grant to its memory estimate.
GRANT_OVER_ESTIMATE = 1.25
# Share of an engine's memory up to which memory is granted.
MAX_MEMORY_SHARE = 1.1
# Soft memory limit in the ramp of the feedback's memory error, as a share of the engine's memory.
MEMORY_SHARE_SOFT_LIMIT = 0.8
# Weight of a spill in the log of its class's memory shortage.
SPILL_WEIGHT = 0.2
# Amount by which a query that fits into its grant lowers the log of its class's memory shortage.
FIT_DECREMENT = 0.01
# Upper bound of the log of a class's memory shortage.
MAX_SHORTAGE_LOG = math.log(3.0)
# Share of the average free memory that one query may take at an engine without a fresh report.
UNREPORTED_MEMORY_SHARE = 0.25

# Load and limits

# Number of cores of an engine whose kind does not state it.
DEFAULT_CORES = 8.0
# Share of busy cores at which an engine delivers its full throughput.
BUSY_SHARE_AT_CAPACITY = 0.85
# EWMA weight of the newest error of the feedback, and of the newest rates of held and sent queries.
ERROR_SMOOTHING_WEIGHT = 0.3
# Gain of one step of the feedback.
FEEDBACK_GAIN = 1.0
# Smoothed error of the feedback at an engine without load: with a latency ratio of 1, its load is 1 less than
# at capacity.
IDLE_FEEDBACK_ERROR = -1.0
# Deviation of an engine's smoothed values from those without load up to which the feedback leaves it out.
MAX_DEVIATION_AT_REST = 0.05
# Period of the feedback.
FEEDBACK_PERIOD_US = 100_000
# EWMA weight of one feedback period in this gateway's share of the answered work.
ANSWERED_SHARE_WEIGHT = 0.05
# EWMA weight of one feedback period in this gateway's share of the offered work.
OFFERED_SHARE_WEIGHT = 0.03
# An engine is congested if its reported busy share is above this.
CONGESTED_BUSY_SHARE = 0.93
# An engine has headroom if its reported busy share is below this.
HEADROOM_BUSY_SHARE = 0.8
# Queries do not slow each other down if the engine's reported busy share is below this.
UNCONTENDED_BUSY_SHARE = 0.6
# Threads per core at the slot limit. It is above 1 since some threads always wait for disks.
THREADS_PER_CORE = 1.5
# Number of standard deviations that are added to the mean for the limit over all engines.
CLUSTER_LIMIT_DEVIATIONS = 0.5
# Factor on the limit over all engines for queries in the smallest cost bin.
LIGHT_QUERY_LIMIT_FACTOR = 2.0
# If this gateway's part of an engine is less than this many slots, the limit is engine-wide: it counts the
# slots of the whole engine, which all gateways share.
MIN_OWN_SLOTS = 2.0
# Share of congested engines in the reports from which the whole cluster shows a sign of congestion.
CLUSTER_CONGESTED_SHARE = 0.25
# Log of the mean latency ratio from which the whole cluster shows a sign of congestion.
CLUSTER_CONGESTED_LATENCY_RATIO_LOG = math.log(2.0)
# An engine is congested if this gateway's slots exceed this multiple of the limit, since latencies far above
# the best ones are to be expected then.
CONGESTED_SLOTS_FACTOR = 1.3
# Multiple of the limit that replaces CONGESTED_SLOTS_FACTOR at an engine with headroom.
CONGESTED_SLOTS_FACTOR_WITH_HEADROOM = 3.0
# An engine is congested if the log of its latency ratio is above this.
CONGESTED_LATENCY_RATIO_LOG = math.log(3.0)
# Share of the latency target that is added to any best latency, so that tiny queries do not dominate the
# latency ratio.
BEST_LATENCY_SLACK_SHARE = 0.1
# Upper bound of the log of one outcome's latency ratio, since a few queries that were blocked by a bulk load
# are no sign of congestion.
MAX_LATENCY_RATIO_LOG = math.log(4.0)
# EWMA weight of one outcome in the log of an engine's latency ratio.
LATENCY_RATIO_WEIGHT = 0.15
# Factor per feedback period by which the log of an engine's latency ratio decays towards the average.
LATENCY_RATIO_DECAY = 0.98
# Time for which an engine counts as full after it has refused a query as full.
FULL_STATE_US = 1_000_000
# Time for which an engine with an engine-wide limit counts as full after it has refused a query as full.
FULL_STATE_ENGINE_WIDE_US = 4_000_000
# Age up to which a load report is used.
MAX_REPORT_AGE_US = 2_000_000

# Routing

# Age of a load report from which an engine is probed, if the price of a probe is 0.01 or less. The age grows
# in proportion to a higher price.
PROBE_REPORT_AGE_US = 500_000
# Time for which a query waits for the results of probes.
PROBE_WAIT_US = 25_000
# Weight of the price of cross-zone traffic in the score of an engine in another zone.
CROSS_ZONE_FACTOR = 10.0
# Age up to which an answer makes its engine a candidate for the next queries.
MAX_ANSWER_AGE_US = 4_000_000
# Least number of engines with which bulk loads and the queries that wait for them use separate engines.
MIN_PARTITIONED_ENGINES = 3
# Number of (class, data set) pairs whose partitions of the engines are cached.
MAX_PARTITIONS = 256
# Number of engines that are sampled to find two candidates.
CANDIDATE_SAMPLE_SIZE = 6
# Number of engines that are tried if neither candidate admits a query.
FALLBACK_SAMPLE_SIZE = 12
# Number of engines of a small fleet, in which a decision may look at all of them. In a larger one it looks at
# so many at random.
SMALL_FLEET_ENGINES = 128
# Number of engines to which the held queries are offered one by one, when a list brings new engines. If it
# brings more, the held queries look for engines instead.
MAX_ENGINES_OFFERED = 4
# Number of engines with the most recent answers from which candidates are sampled.
RECENT_ANSWERS_SAMPLED = 8
# Share of the queries in the smallest cost bin that sample from all engines.
EXPLORATION_SHARE = 0.1

# Tenants and held queries

# A tenant may use up its quota for this time at once.
QUOTA_BURST_US = 1_000_000
# Time that replaces QUOTA_BURST_US where limits are engine-wide, since a tenant's few queries per second
# arrive in bursts there.
QUOTA_BURST_ENGINE_WIDE_US = 15_000_000
# Held work may take at most this share of the time left until the newest held query must start.
HELD_WORK_SHARE = 0.5
# Share that replaces HELD_WORK_SHARE where limits are engine-wide, and this gateway's part of an engine is
# small.
HELD_WORK_SHARE_ENGINE_WIDE = 2.0
# Factor on this gateway's part of a quota, since traffic is never spread evenly over the gateways.
QUOTA_FACTOR = 1.3
# EWMA weight of one feedback period in the rate of answered work.
SERVICE_RATE_WEIGHT = 0.1
# Lower bound of the rate of answered work, as a share of this gateway's even part of all engines.
MIN_SERVICE_RATE_SHARE = 0.2
# A query must be answered this many ticks of the clock (which delivers events in batches) before its client
# gives up.
ANSWER_MARGIN_TICKS = 2.2
# Time from when a client may send a refused query again until that try has reached an engine.
NEXT_TRY_MARGIN_US = 1_000_000
# Time after a list could not be fetched until it is requested again.
LIST_RETRY_US = 500_000

# Health and retries

# Time without any message after which an engine may count as silent.
SILENCE_US = 1_000_000
# An engine that sends nothing counts as silent only once an attempt has been in flight for SILENCE_US plus
# this multiple of its expected time.
OVERDUE_FACTOR = 4.0
# A timer that fires late by more than this shows that this process has stalled.
STALL_US = 300_000
# Multiple of the other engines' mean failure share that is added to EJECTION_FAILURE_SHARE.
EJECTION_OTHERS_FACTOR = 2.0
# Share of failures above which an engine is ejected if the other engines do not fail.
EJECTION_FAILURE_SHARE = 0.3
# EWMA weight of one outcome in an engine's share of failures.
FAILURE_WEIGHT = 0.15
# If more than this share of the engines is ejected, a common cause is assumed, and all engines are used.
MAX_EJECTED_SHARE = 0.5
# Time from an ejection to the trial. The time doubles with each failed trial.
EJECTION_US = 2_000_000
# Upper bound of the time from an ejection to the trial.
MAX_EJECTION_US = 8_000_000
# An attempt is stuck once it has been in flight for this multiple of its expected time, plus
# STUCK_TARGET_SHARE of the latency target.
STUCK_FACTOR = 2.0
# Share of the latency target in the time after which an attempt is stuck.
STUCK_TARGET_SHARE = 0.1
# A bulk load that has blocked an attempt is expected to go on for this share of its typical latency.
LOCK_REMAINING_SHARE = 0.5
# An attempt is cancelled for a bad plan if its remaining time exceeds this multiple of a new attempt's time,
# plus BAD_PLAN_MARGIN_US.
BAD_PLAN_FACTOR = 4.0
# Time that is added to BAD_PLAN_FACTOR times a new attempt's time.
BAD_PLAN_MARGIN_US = 1_000_000

# Slow start

# Share of an engine's configured slow-start budget that is used, as a safety factor.
SLOW_START_BUDGET_SHARE = 0.6
# Number of gateways that may send to an engine in slow start at a time, where an even part of its budget
# would be less than a query.
SLOW_START_TURNS = 2
# Number of turns with an engine for which a gateway computes in advance whether they are its own.
MAX_TURNS_AHEAD = 8
# Number of engines whose slow start and turns are updated at once.
MAX_TURN_UPDATES = 200
# Upper bound of the tolerated error of an engine's age, as a share of the time that the slow start takes.
MAX_AGE_ERROR_SHARE = 0.2
