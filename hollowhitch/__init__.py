"""A proxy for query engines: admission control after CASA, on sockets and on the simulator's wire."""

from hollowhitch.policy.control import Controller

__all__ = ["Controller"]
