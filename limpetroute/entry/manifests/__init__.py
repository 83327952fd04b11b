"""The manifest in force, received from control and kept on disk."""
