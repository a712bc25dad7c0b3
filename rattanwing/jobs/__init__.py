"""Batch jobs: their records and the fold of a shard."""
