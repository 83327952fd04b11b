"""URL paths of this system that the platform requests."""

READY = '/api/readyz'
