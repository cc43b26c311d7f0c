"""A proxy for query engines: admission control after CASA, on sockets and on the simulator's wire."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hollowhitch.policy.control import Controller

__all__ = ["Controller"]


def __getattr__(name: str) -> Any:
    """Load the decision module when it is asked for: the program first sets its signal handlers."""
    if name == "Controller":
        from hollowhitch.policy.control import Controller

        return Controller
    raise AttributeError(name)
