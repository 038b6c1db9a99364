# Targets for users and maintainers; see README.md.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test check format

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python scripts/run_tests.py

check: $(STAMP)
	$(BIN)/black --check -q gooseberrydale tests features scripts
	$(BIN)/isort --check -q gooseberrydale tests features scripts
	$(BIN)/flake8 gooseberrydale tests features scripts
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/black -q gooseberrydale tests features scripts
	$(BIN)/isort -q gooseberrydale tests features scripts
