"""One entry host as a whole, and what it exports."""
