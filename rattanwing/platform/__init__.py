"""Adapter to the users' platform: settings file, wire formats and calls.

This package translates between the platform's protocol and the types of
``rattanwing.batch`` and makes no scheduling decisions. No other package depends on
the platform's names.
"""
