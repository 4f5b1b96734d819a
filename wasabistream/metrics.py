"""Metrics of a process; each label has a small fixed set of values."""

from prometheus_client import Counter, Gauge, Histogram

FRAME_ERRORS = Counter(
    'wasabi_frame_errors', 'Malformed frames that closed a link'
)
LINK_BYTES = Counter(
    'wasabi_link_bytes', 'Bytes on links between processes', ['direction']
)
REQUESTS = Counter(
    'wasabi_requests', 'Requests by path kind and result', ['kind', 'result']
)
REFUSALS = Counter('wasabi_refusals', 'Refusals by reason', ['reason'])
BANNED_PARTS = Gauge(
    'wasabi_banned_prompt_parts', 'Parts of prompts whose requests are refused'
)
ATTEMPTS = Counter('wasabi_attempts', 'Attempts by outcome', ['outcome'])
OPEN_STREAMS = Gauge('wasabi_open_streams', 'Streams to callers now open')
CUT_STREAMS = Counter(
    'wasabi_cut_streams', 'Streams ended before their answer', ['reason']
)
CUT_REQUESTS = Counter(
    'wasabi_cut_requests',
    'Attempts of requests that the supervisor cut',
    ['reason'],
)
CONTINUATION_FAILURES = Counter(
    'wasabi_continuation_failures',
    'Streams that could not go on at a server of their software version',
    ['reason'],
)
RESUMED_STREAMS = Counter(
    'wasabi_resumed_streams',
    'Streams that callers resumed, by where their version was recorded',
    ['source'],
)
FIRST_TOKEN_SECONDS = Histogram(
    'wasabi_first_token_seconds',
    'Time from admission to the first token of the engine',
)
GATE_QUEUED = Gauge('wasabi_gate_queued', 'Jobs that wait at the gate')
GATE_RUNNING = Gauge('wasabi_gate_running', 'Jobs that run behind the gate')
DOCUMENT_REVISION = Gauge(
    'wasabi_document_revision', 'Revision of the document in force'
)
DOCUMENT_OLDER_READS = Counter(
    'wasabi_document_older_reads', 'Documents older than the one held'
)
CONFIGURATION_READS = Counter(
    'wasabi_configuration_reads', 'Reads at the configuration service'
)
DOCUMENT_ERRORS = Counter(
    'wasabi_document_errors', 'Documents that were refused'
)
CALL_WINDOW_SECONDS = Histogram(
    'wasabi_call_window_seconds',
    'Time from the last lease check to the end of the send to the service',
    buckets=(0.0001, 0.001, 0.01, 0.1, 1, 5, 10),
)
DROPPED_LOG_LINES = Counter(
    'wasabi_dropped_log_lines', 'Log lines that were not written'
)
FIRST_EVENT_ERROR_SECONDS = Histogram(
    'wasabi_first_event_error_seconds',
    'Measured minus predicted time to the first event of a generation',
    buckets=(-2, -1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2),
)
FORWARD_SECONDS = Histogram(
    'wasabi_forward_seconds',
    'Time from a request to the end of its answer, by kind of route',
    ['kind'],
    buckets=(0.02, 0.05, 0.125, 0.3, 0.8, 1.8, 4, 10, 40),
)
START_QUEUE_WAITING = Gauge(
    'wasabi_start_queue_waiting', 'Deferrable requests that wait for room'
)
START_QUEUE_SECONDS = Histogram(
    'wasabi_start_queue_seconds',
    'Time that deferrable requests waited, those sent at once included',
    buckets=(0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16),
)
START_QUEUE_ENDS = Counter(
    'wasabi_start_queue_ends',
    'Waits of deferrable requests that ended, by reason',
    ['reason'],
)
LIMITED_SERVERS = Gauge(
    'wasabi_limited_servers', 'Backend servers that state a rate limit'
)
BACK_OFFS = Counter(
    'wasabi_back_offs', 'Times that servers asked this entry to come back later'
)
LEAVING_SERVERS = Gauge(
    'wasabi_leaving_servers', 'Backend servers that state that they leave'
)
LIMITED_SENDS = Counter(
    'wasabi_limited_sends', 'Requests sent to servers that state a rate limit'
)
MOVES = Counter(
    'wasabi_moves', 'Generations moved to another engine', ['outcome']
)
CONNECTION_ENDS = Counter(
    'wasabi_connection_ends',
    'Answers that ended with their connection, by ending and source',
    ['ending', 'source'],
)
MOVES_WITHOUT_TARGET = Counter(
    'wasabi_moves_without_target',
    'Searches for an engine to move a generation to that found none',
    ['reason'],
)
ENGINE_EVENT_SECONDS = Gauge(
    'wasabi_engine_event_seconds',
    'Time between two events of a generation without a prefill',
)
ENGINE_PROMPT_EVENT_SECONDS = Gauge(
    'wasabi_engine_prompt_event_seconds',
    'Time between two events of a generation beside a prefill',
)
ENGINE_PROMPT_TOKEN_RATE = Gauge(
    'wasabi_engine_prompt_tokens_per_second',
    'Prompt tokens that the engine prefills per second',
)
BACKLOG_TOKENS = Gauge(
    'wasabi_backlog_tokens', 'Tokens of announced prompts without an event'
)
STORE_LOST = Gauge('wasabi_store_lost', 'Whether the store does not answer')
STORE_ANSWER_AGE = Gauge(
    'wasabi_store_answer_age_seconds',
    'Time since the store, or a relay for it, last answered',
)
STORE_EPOCH = Gauge(
    'wasabi_store_epoch', 'Epoch of the known contents of the store'
)
STORE_CALLS = Counter(
    'wasabi_store_calls', 'Calls to the store by outcome', ['outcome']
)
HELD_STORE_ITEMS = Gauge(
    'wasabi_held_store_items',
    'Items held after the store returned from an older copy',
)
LISTED_SERVERS = Gauge(
    'wasabi_listed_servers', 'Backend servers in the view of the fleet'
)
CONFIGURATION_VERSION = Gauge(
    'wasabi_configuration_version', 'Version of the routes in force'
)
KNOWN_ENTRIES = Gauge('wasabi_known_entries', 'Entries alive, this included')
SPILLOVER_SHARE = Gauge(
    'wasabi_spillover_share',
    'Share of requests that may leave, by service and data centre',
    ['service', 'data_centre'],
)
REMOTE_REQUESTS = Counter(
    'wasabi_remote_requests',
    'Requests sent to another data centre, by service and data centre',
    ['service', 'data_centre'],
)
LEASE_HELD = Gauge(
    'wasabi_lease_held', 'Whether this agent may run calls of its keys'
)
LEDGER_BYTES = Gauge(
    'wasabi_ledger_bytes', 'Bytes reserved for recorded keys and answers'
)
