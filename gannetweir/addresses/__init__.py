"""The addresses of endpoints: their order, their health, and the connection race. No I/O, no clock."""
