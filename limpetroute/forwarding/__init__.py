"""Forwards opaque HTTP requests by route.

The way of one request: `front_server` reads it, `forwarder` finds its
route, `plain_forward` or `stream_forward` send it to runners through
`runner_call`, and `responder` writes the answer.
"""
