VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: install run test proofs bench lint docs

install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

run: install
	$(VENV)/bin/rattanwingd --embedded

test: install
	$(PYTHON) -m tests

proofs: install
	$(PYTHON) -m tests --proofs

bench: install
	$(PYTHON) -m bench

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

docs: install
	$(VENV)/bin/sphinx-build -q -W -b html docs docs/_build/html
