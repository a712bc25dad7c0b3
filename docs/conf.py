"""Settings of the documentation build."""

project = "rattanwing"
extensions = []
html_theme = "alabaster"
exclude_patterns = ["_build", "*.md"]
