"""Names of the HTTP headers of callers and runners."""

REQUEST_ID = 'Request-Id'
# Milliseconds that the recipient has left, not a point in time.
DEADLINE_MS = 'Deadline-Ms'
# Id of the intended runner; any other runner responds with status 421.
EXPECT_INSTANCE = 'Expect-Instance'
# Present, with any value, if the runner did not run the request.
NOT_RUN = 'Not-Run'
# PROMPT_TOKENS,MAX_OUTPUT_TOKENS: the upper bounds, not the actual usage.
TOKEN_USAGE = 'Token-Usage'
# The caller's estimate of the number of tokens of the answer.
LENGTH_HINT = 'Length-Hint'
# Comma-separated ID:TOKENS of each part of the prompt, in order. The last
# part is unique to the caller, so its ID identifies the prompt; the others
# are shared between prompts.
PROMPT_PREFIX = 'Prompt-Prefix'
# Requests per second that a runner accepts from all hosts together.
SERVER_LIMIT = 'Server-Limit'
# '1' in all responses of a runner that is leaving.
SERVER_LEAVING = 'Server-Leaving'
# Seconds, which may include fractions. In a runner's response it concerns
# only the host that receives it.
RETRY_AFTER = 'Retry-After'
STAGE = 'Stage'
# 0 to 9; 0 is admitted first. Runners assume 5 where it is absent.
REQUEST_PRIORITY = 'Request-Priority'
# ADDRESS/HANDLE of the KV cache at the prefill runner.
KV_FROM = 'Kv-From'
LAST_EVENT_ID = 'Last-Event-Id'
# Request-Id of the caller's attempt that the stream began with.
RESUMES = 'Resumes'
# ``Token KEY``; runners receive the team that holds the key instead.
AUTHORIZATION = 'Authorization'
KEY_SCHEME = 'token'
# Name of the team.
TENANT = 'Tenant'

# Only the router may set these; they are removed from callers' requests.
SYSTEM_ONLY = (
    STAGE,
    TENANT,
    KV_FROM,
    EXPECT_INSTANCE,
    'Kv-Backup',
    'Kv-Fetch',
    'Hold',
    'Pin-Ms',
    REQUEST_PRIORITY,
    'Expect-Version',
)
# Apply to a single connection (RFC 9110, section 7.6.1).
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
