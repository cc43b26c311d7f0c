"""The controller, which takes events and returns actions, and its parts. Nothing here does I/O."""
