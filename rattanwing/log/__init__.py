"""Client for the platform's append-only log, and streams folded into state."""
