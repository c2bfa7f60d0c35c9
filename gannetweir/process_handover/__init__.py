"""What two processes of one relay share during an upgrade, as files in a folder of this machine."""
