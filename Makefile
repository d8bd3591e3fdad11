# The README's two commands are `make demo` and `make test`. Both make the
# environment first, from pinned versions.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: bench demo docs environment format test

$(READY): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(READY)

environment: $(READY)

test: $(READY)
	$(BIN)/python -m pytest --numprocesses 4

# honcho ends every process when the report's process ends.
demo: export HOISTMOOR_SECRET = secret-for-the-demo-alone
demo: export HOISTMOOR_LOG_LEVEL = warning
demo: $(READY)
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/honcho start --procfile Procfile

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Writes the tables of the docs that come from the sources.
docs: $(READY)
	$(BIN)/python tests/docs/docs_blocks.py

# What an entry adds to a direct call, measured in one run.
bench: export HOISTMOOR_SECRET = secret-for-the-bench-alone
bench: export HOISTMOOR_LOG_LEVEL = warning
bench: $(READY)
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/honcho --app-root . start --procfile benchmarks/Procfile
