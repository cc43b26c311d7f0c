"""Protocol state machines that are fed bytes and return events, without access to sockets or clocks."""
