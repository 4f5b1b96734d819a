"""Contents of a store that returns from an older copy."""
