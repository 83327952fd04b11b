"""Slopes measured on one machine, and what they mean at goal size."""
