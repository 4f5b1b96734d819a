"""Stand-ins, demonstration, fault histories and measurements."""
