"""HTTP calls between processes, with deadlines and cancellation."""
