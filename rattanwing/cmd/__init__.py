"""The command-line programs ``rattanwingd`` and ``rattanwing``."""
