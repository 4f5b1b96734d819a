"""Returns of the store from an older copy."""
