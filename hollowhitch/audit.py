"""Rules that the process checks on itself at run time. A violation is counted, and logged with its ids."""

from __future__ import annotations

import enum

from hollowhitch import log
from hollowhitch.metrics import Metrics


class Rule(enum.Enum):
    """Rules that the process checks, each with the text that is logged when it is violated.

    The name in lower case is the `rule` label of the metric.
    """

    HELD_WHILE_DRAINED = "a draining process kept an idle or busy connection open past the drain limit"
    CLOSED_UNANSWERED = "the proxy closed a client connection that had an open request"
    SENT_TO_DISABLED = "a request was about to be sent to a disabled engine"
    SENT_WHILE_STOPPING = "a stopping process was about to send a request after the deadline for its answers"
    OPEN_AT_EXIT = "requests were open when the process exited"


class Audit:
    """Counter and log of rule violations."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_violation(self, rule: Rule, **ids: object) -> None:
        """Count and log a violation; `ids` are written to the log and identify what is affected."""
        self._metrics.violations.add(rule.name.lower())
        log.event("violation", rule.value, **ids)
