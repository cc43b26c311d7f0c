"""Operator console: HTTP/1.1, one request per connection."""
