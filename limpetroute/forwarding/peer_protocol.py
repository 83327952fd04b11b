"""Header names between entry hosts."""

# Authenticates the host; ``Authorization`` belongs to the caller.
TOKEN = 'Proxy-Authorization'
# Why a host did nothing with a request. Any other answer is the caller's.
DECLINED = 'Limpetroute-Declined'
