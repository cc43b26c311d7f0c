"""Sockets: thin drivers, in greenlets, of the state machines in hollowhitch.protocol."""
