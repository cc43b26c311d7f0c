"""The stages of a shutdown and their time limits, derived from the settings.

The platform sends SIGKILL no earlier than the longest deadline (3 s at most) plus 0.7 s after SIGTERM.
Requests that are unanswered at that time are lost. So the process answers all requests and closes all
connections before that.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hollowhitch.policy.interface import QueryClass

# Deadlines above this many seconds do not extend the time before SIGKILL.
MAX_COUNTED_DEADLINE_S = 3.0
# Seconds between the longest counted deadline and SIGKILL.
GRACE_AFTER_DEADLINE_S = 0.7
# Seconds before SIGKILL at which the process exits, as a margin for the case that it gets little CPU time.
EXIT_MARGIN_S = 0.25
# Seconds that clients have to read the last answers and to close their connections.
CLIENT_CLOSE_S = 0.1
# After SIGTERM, connections are accepted for this share of the time for answers, within these bounds in
# seconds. The platform opens new connections for another 0.4 s after SIGTERM.
MAX_ACCEPT_S, MIN_ACCEPT_S, ACCEPT_SHARE = 0.9, 0.45, 0.7


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """Seconds after SIGTERM by which each stage ends."""

    accept_until_s: float  # end of accepting connections and requests; later requests are refused
    answer_by_s: float  # deadline of the final answers to all open requests
    exit_by_s: float  # deadline for closing all connections; each is closed once it has no open request


def plan_shutdown(classes: Iterable[QueryClass]) -> ShutdownPlan:
    """Return the time limits of the stages, which depend on the longest deadline of the query classes."""
    longest_s = max(c.deadline_us for c in classes) / 1e6
    grace_s = min(longest_s, MAX_COUNTED_DEADLINE_S) + GRACE_AFTER_DEADLINE_S
    exit_by_s = grace_s - EXIT_MARGIN_S
    answer_by_s = exit_by_s - CLIENT_CLOSE_S
    accept_s = min(MAX_ACCEPT_S, max(MIN_ACCEPT_S, answer_by_s * ACCEPT_SHARE))
    return ShutdownPlan(min(accept_s, answer_by_s), answer_by_s, exit_by_s)
