"""Proxy for query engines with CASA admission control, on sockets and on the simulator's protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hollowhitch.policy.control import Controller

__all__ = ["Controller"]


def __getattr__(name: str) -> Any:
    """Import the controller on first use, so that the program can install its signal handlers before."""
    if name == "Controller":
        from hollowhitch.policy.control import Controller

        return Controller
    raise AttributeError(name)
