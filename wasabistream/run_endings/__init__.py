"""How runs end whose answers end with their connection."""
