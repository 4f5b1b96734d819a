"""Which backend servers may continue a stream that has begun."""
