"""Names of the platform's HTTP headers, in lower case."""

from wasabistream.headers import HOP_BY_HOP

# Id that the caller gave the request; all attempts of an entry to run it carry
# the same id.
REQUEST_ID = 'wasabistream-request-attempt-id'
REMAINING_MS = 'wasabistream-deadline-remaining'
EXPECTED_SERVER = 'wasabistream-expect-replica'
EXPECTED_VERSION = 'wasabistream-expect-version'
ORGANISATION = 'wasabistream-tenant'
# Number of prompt tokens and maximum number of output tokens.
TOKENS = 'wasabistream-token-usage'
# Parts of the prompt in order, as ID:TOKENS entries.
PROMPT_PARTS = 'wasabistream-prompt-prefix'
LENGTH_HINT = 'wasabistream-length-hint'
# 0 is the most urgent.
URGENCY = 'wasabistream-request-urgency'
PIN_MS = 'wasabistream-pin-ms'
RESERVATION = 'wasabistream-hold'
BACKUP = 'wasabistream-kv-backup'
# Engine and handle of the memory (KV cache) of a moved generation.
MEMORY_SOURCE = 'kv-from'
MEMORY_FETCH = 'kv-fetch'
LAST_EVENT_ID = 'last-event-id'
# Id of the request that brought the first event of the stream which a caller
# takes up.
RESUMES = 'resumes'
# Set by backend servers on their own answers; its value is not checked.
SEAL = 'wasabistream-response-seal'
NOT_EXECUTED = 'wasabistream-not-executed'
# Requests per second that a backend server takes from all entries together.
RATE_LIMIT = 'server-limit'
# Set to 1 by a backend server that leaves.
LEAVING = 'server-leaving'
RETRY_AFTER = 'retry-after'
# In each answer of the store; rises with each return from an older copy.
STORE_EPOCH = 'store-era'

# API key of the caller whose request `/route` explains. A header, as query
# strings get into logs; Authorization carries the operator's key there.
CALLER_KEY = 'wasabistream-caller-key'

# Headers that only the system may set; dropped from callers' requests.
SYSTEM_ONLY = frozenset(
    (
        EXPECTED_SERVER,
        EXPECTED_VERSION,
        ORGANISATION,
        URGENCY,
        PIN_MS,
        RESERVATION,
        BACKUP,
        MEMORY_SOURCE,
        MEMORY_FETCH,
    )
)
# Headers that apply to one connection or are written anew for each one.
CONNECTION_ONLY = HOP_BY_HOP | {'content-length', 'expect'}
