"""State machines that are fed bytes and return events; none knows a socket or a clock."""
