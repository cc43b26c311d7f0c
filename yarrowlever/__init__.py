"""Admission control for queries on a pool of engines, after CASA."""

from yarrowlever.control import Controller

__all__ = ["Controller"]
