"""State machines that are fed bytes and return events and bytes. No sockets, no clock."""
