"""Units that outside formats use and this code does not."""

MILLISECONDS_PER_SECOND = 1000
