"""Stand-ins, demonstration and measurements for wasabistream."""
