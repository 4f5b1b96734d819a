"""Which start of an engine serves, beside what the store lists."""
