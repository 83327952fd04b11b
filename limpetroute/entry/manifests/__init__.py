"""The manifest in force, on disk and from control."""
