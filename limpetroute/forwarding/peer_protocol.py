"""Header names between entry hosts.

The software version of a stream is in that of `stream_version_header`.
"""

# Authenticates the host; ``Authorization`` belongs to the caller.
TOKEN = 'Proxy-Authorization'
# Why a host did nothing with a request. Any other answer is the caller's.
DECLINED = 'Limpetroute-Declined'
