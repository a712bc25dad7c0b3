"""The users' platform: its settings file, names, formats and calls.

This folder translates between the platform's words and the product's types and
decides nothing. No other folder knows the platform's names.
"""
