"""Small stand-ins for the platform: log, worker and executor."""
