"""What two processes of one relay share during an upgrade, in a folder on this machine."""
