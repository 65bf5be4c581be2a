# What this repository can be asked to do, from a fresh clone too: each target sets up what it needs.
#   make test    lint, types and tests; what .ci/run calls
#   make lint    lint and types alone
#   make demo    three nodes, twelve stand-in dispatch servers and a discovery agent on loopback
#   make fleet-demo  five nodes that know each other, a kill, a partition and its healing, and a page on it
#   make system-demo  the whole system: three control processes, two edges, stand-ins for the rest, a kill
#   make bench   the measurements under benchmarks/
SHELL := /bin/bash
.SHELLFLAGS := -eu -o pipefail -c

VENV ?= $(if $(wildcard .ci-venv/bin/python),.ci-venv,.dev-venv)
PYTHON := $(VENV)/bin/python
WANT := requirements.txt requirements-system.txt requirements-dev.txt
PIP := $(VENV)/bin/pip -q --disable-pip-version-check

.PHONY: test lint demo fleet-demo system-demo bench venv

# One seed for all generated examples, so that a verdict stands; `python -m pytest` alone looks further. Each
# file stays whole in one of four processes.
test: lint
	$(PYTHON) -m pytest -n 4 --dist loadfile --hypothesis-seed=0

lint: venv
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy

demo: venv
	$(VENV)/bin/granitewell lab demo

fleet-demo: venv
	$(VENV)/bin/granitewell lab fleet demo

system-demo: venv
	$(PYTHON) -m granitewell.lab.system

bench: venv
	@for script in benchmarks/*.py; do echo "== $$script"; $(PYTHON) "$$script"; done

# Anew whenever a requirement has changed; the project itself is put in again whenever its own file has.
venv:
	@if ! test -x $(PYTHON) || ! cat $(WANT) | cmp -s - $(VENV)/installed; then \
	    python3 -m venv --clear $(VENV); \
	    echo '*' > $(VENV)/.gitignore; \
	    $(PIP) install -r requirements-dev.txt; \
	    cat $(WANT) > $(VENV)/installed; \
	fi
	@if ! cmp -s pyproject.toml $(VENV)/pyproject.toml; then \
	    $(PIP) install --no-deps --no-build-isolation -e .; \
	    cp pyproject.toml $(VENV)/pyproject.toml; \
	fi
	@$(VENV)/bin/granitewell version > /dev/null
