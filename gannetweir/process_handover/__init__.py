"""State that two processes of one relay share during an upgrade, as files in a local folder."""
