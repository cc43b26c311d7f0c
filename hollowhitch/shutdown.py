"""The end of a process: a budget worked out from the settings, and when each stage has to be over.

The platform sends SIGKILL no earlier than the longest deadline (counted as 3 s where it is longer) plus 0.7 s
after SIGTERM. Whatever a client sent by then and got no answer to is lost, so everything is answered and
every connection closed before.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hollowhitch.policy.interface import QueryClass

LONGEST_COUNTED_S = 3.0
AFTER_LONGEST_S = 0.7
EXIT_MARGIN_S = 0.15  # kept for a process that gets little of its core
CLOSE_S = 0.2  # for clients to read what was written last, and to close
ACCEPT_S, ACCEPT_LEAST_S, ACCEPT_SHARE = 0.9, 0.45, 0.7  # new connections still come for 0.4 s


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """Seconds after SIGTERM by which each stage is over."""

    accept_until_s: float  # connections are accepted and requests served as ever
    answer_by_s: float  # what came later is refused; by now every request has its final answer
    exit_by_s: float  # connections are closed, each as soon as nothing is open on it


def plan_shutdown(classes: Iterable[QueryClass]) -> ShutdownPlan:
    """The stages for these classes' deadlines."""
    longest_s = max(c.deadline_us for c in classes) / 1e6
    grace_s = min(longest_s, LONGEST_COUNTED_S) + AFTER_LONGEST_S
    exit_by_s = grace_s - EXIT_MARGIN_S
    answer_by_s = exit_by_s - CLOSE_S
    accept_s = min(ACCEPT_S, max(ACCEPT_LEAST_S, answer_by_s * ACCEPT_SHARE))
    return ShutdownPlan(min(accept_s, answer_by_s), answer_by_s, exit_by_s)
