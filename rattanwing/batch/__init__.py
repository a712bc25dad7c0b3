"""Jobs of steps: what lasts, who owns it, where tasks run.

An entry hands jobs in and answers for their state; one entry at a time owns the
scheduling; an agent beside each executor carries its orders out.
"""
