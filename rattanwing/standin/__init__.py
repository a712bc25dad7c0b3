"""In-memory replacements of platform services, for tests and local trials."""
