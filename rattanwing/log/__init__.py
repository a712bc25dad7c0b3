"""The platform's append-only log: client, group commit and folds."""
