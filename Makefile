# Targets for users and maintainers; see README.md.
PYTHON ?= python3
MINUTES ?= 10
PORT ?= 8080
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
BINARY := dist/gooseberrydale.pyz
CODE := gooseberrydale platform tests features scripts measure soak
RUNS ?= 5
SEEDS ?= 5

.PHONY: run test check format binary soak faults measure

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

# Serve on one machine, send the first requests, go on until interrupted.
run: $(STAMP)
	$(BIN)/python scripts/run_local.py --port $(PORT)

test: $(STAMP)
	$(BIN)/python scripts/run_tests.py

check: $(STAMP)
	$(BIN)/black --check -q $(CODE)
	$(BIN)/isort --check -q $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy
	$(BIN)/mypy platform
	$(BIN)/mypy soak

format: $(STAMP)
	$(BIN)/black -q $(CODE)
	$(BIN)/isort -q $(CODE)

# One file that any Python 3.11 of this platform runs; see docs/design/one-binary.md.
binary: $(STAMP)
	mkdir -p dist
	$(BIN)/shiv -q -c gooseberrydale -o $(BINARY) -p "/usr/bin/env python3" \
		. --constraint requirements.txt
	$(BIN)/python scripts/check_binary.py $(BINARY)

# Long randomised runs: make soak MINUTES=30
soak: $(STAMP)
	$(BIN)/python scripts/soak.py --minutes $(MINUTES)

# Real processes under faults of random seeds: make faults SEEDS=50
faults: $(STAMP)
	$(BIN)/python -m soak --seeds $(SEEDS)

# Compare the policies on both example deployments, with and without failures.
measure: $(STAMP)
	$(BIN)/python -m measure --runs $(RUNS)
