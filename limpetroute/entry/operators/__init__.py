"""HTTP handlers for operators: status, requests and drains."""
