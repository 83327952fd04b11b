"""The control host that leads decides for all entry hosts.

It gives streams their places at runners, and orders runners to their
stages. What it decides with is pure and stands in `limpetroute.routing`.
"""
