"""HTTP servers whose clients may hold a bounded amount of resources.

All ports of all daemons are served from here. `http_server` accepts
connections, `served_connection` and `http_connection` read their requests,
and `connection_table` closes the ones that hold resources without making
progress.
"""
