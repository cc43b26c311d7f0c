"""Socket code: greenlets that drive the protocol state machines of hollowhitch.protocol."""
