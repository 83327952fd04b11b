"""Forwards opaque HTTP requests by route.

`front_server` receives a request and `forwarder` finds its route.
`plain_forward` or `stream_forward` sends the request to runners through
`runner_call`, and `responder` writes the answer. While this host reaches
no runner, `peer_forward` passes the request to another entry host.
"""
