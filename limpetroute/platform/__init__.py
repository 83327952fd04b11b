"""The platform's names, formats and calls, and nothing that decides.

Its words are decoded here, once, into the project's own types. No other
folder but the command line imports this one.
"""
