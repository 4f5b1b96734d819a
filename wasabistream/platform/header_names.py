"""Names of the platform's HTTP headers, in lower case."""

REQUEST_ID = 'wasabistream-request-attempt-id'
REMAINING_MS = 'wasabistream-deadline-remaining'
EXPECTED_SERVER = 'wasabistream-expect-replica'
EXPECTED_VERSION = 'wasabistream-expect-version'
ORGANISATION = 'wasabistream-tenant'
MODEL = 'wasabistream-model'
# Prompt tokens and the most output tokens.
TOKENS = 'wasabistream-token-usage'
LENGTH_HINT = 'wasabistream-length-hint'
URGENCY = 'wasabistream-request-urgency'
PIN_MS = 'wasabistream-pin-ms'
RESERVATION = 'wasabistream-hold'
BACKUP = 'wasabistream-kv-backup'
MEMORY_SOURCE = 'kv-from'
MEMORY_FETCH = 'kv-fetch'
LAST_EVENT_ID = 'last-event-id'
SEAL = 'wasabistream-response-seal'
NOT_EXECUTED = 'wasabistream-not-executed'
SERVER_ID = 'wasabistream-replica-id'
COLD_MS = 'wasabistream-cold-ms'

# Headers that only the system may set.
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
# Headers that concern one connection.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
