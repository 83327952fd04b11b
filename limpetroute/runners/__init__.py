"""Directory of announced runners, and clients that call them."""
