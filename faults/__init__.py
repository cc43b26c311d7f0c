"""Fault injection: real proxies on loopback, stub peers and an independent checker of the rules."""
