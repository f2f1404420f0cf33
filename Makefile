# `make demo` runs the main job on embedded stand-ins; `make test` runs every check.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check format

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m knapweedhinge demo

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

# Crowds of clients run one test at a time, apart from other load.
test: check
	$(BIN)/python -m pytest
	$(BIN)/python -m pytest -n 0 tests/crowds

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
