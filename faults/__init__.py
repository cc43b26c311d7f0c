"""Fault injection: real proxies on loopback, stand-in peers, an independent checker of the rules."""
