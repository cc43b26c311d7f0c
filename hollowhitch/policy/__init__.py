"""The decisions: events in, actions out, no I/O."""
