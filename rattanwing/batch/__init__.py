"""Batch engine: durable multi-step jobs, scheduled by one elected entry.

Entries accept jobs from callers and report their state. One entry at a time, the
owner, schedules all tasks. An agent on each executor's machine carries out the
owner's orders.
"""
