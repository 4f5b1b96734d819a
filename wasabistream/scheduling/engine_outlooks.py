"""Predictions for one request on one engine."""

from dataclasses import dataclass

from wasabistream.forwarding.backend_servers import BackendServer


@dataclass(frozen=True, slots=True)
class EngineOutlook:
    """Predict what happens if a request is sent to an engine now."""

    server: BackendServer
    # Time from now to the first event.
    first_event_seconds: float
    # Probability that the first event misses the target latency.
    late_chance: float
    # Probability that a prefill beside the stream pauses it for too long.
    own_pause_chance: float
    # Expected number of running streams that this prefill pauses too long.
    disturbed_count: float
    # Memory that would be needed beyond the capacity, as a ratio of it.
    memory_excess_ratio: float
    # Cost of another data centre, in lost requests.
    remote_loss: float
    # Expected number of requests that are late or lost by this choice.
    loss: float
    # Memory that is left after all expected growth and this request; below 0
    # if it does not fit.
    free_tokens: int
