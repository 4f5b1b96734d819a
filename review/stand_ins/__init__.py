"""Stand-ins of the cases 6 to 10."""
