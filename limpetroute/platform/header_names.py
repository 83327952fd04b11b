"""Header names between callers, this system and runners."""

REQUEST_ID = 'Request-Id'
# Milliseconds that whoever receives it has left, not a point in time.
DEADLINE_MS = 'Deadline-Ms'
# The one runner that is meant; another one answers 421.
EXPECT_INSTANCE = 'Expect-Instance'
# Present, whatever its value, where a runner did not run a request.
NOT_RUN = 'Not-Run'
# PROMPT_TOKENS,MAX_OUTPUT_TOKENS: what may be used, not what was.
TOKEN_USAGE = 'Token-Usage'
# The caller's guess of the tokens of its answer.
LENGTH_HINT = 'Length-Hint'
# ID:TOKENS of each part of the prompt, in order. The last part is the
# caller's own, so its ID names the prompt; the others are shared.
PROMPT_PREFIX = 'Prompt-Prefix'
# Requests a second that a runner takes from all hosts together.
SERVER_LIMIT = 'Server-Limit'
STAGE = 'Stage'
# ADDRESS/HANDLE of a prefill's result.
KV_FROM = 'Kv-From'
LAST_EVENT_ID = 'Last-Event-Id'

# These are this system's to set; a caller's own are dropped.
SYSTEM_ONLY = (
    STAGE,
    KV_FROM,
    EXPECT_INSTANCE,
    'Kv-Backup',
    'Kv-Fetch',
    'Hold',
    'Pin-Ms',
    'Request-Priority',
    'Expect-Version',
)
# Concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = (
    'Connection',
    'Keep-Alive',
    'Proxy-Connection',
    'Te',
    'Trailer',
    'Transfer-Encoding',
    'Upgrade',
    'Expect',
)
