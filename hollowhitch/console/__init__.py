"""The console: where operators call. HTTP/1.1, one call to a connection."""
