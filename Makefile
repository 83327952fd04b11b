# Every target sets itself up; PORT=, VENV= and PYTHON= may be given.
PYTHON ?= python3
VENV ?= .venv
PORT ?= 8080
BIN := $(VENV)/bin
STAMP := $(VENV)/.locked

.PHONY: demo test lint format dist clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -r requirements.lock
	touch $@

demo: $(STAMP)
	$(BIN)/python -m limpetroute demo --port $(PORT)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check limpetroute tests
	$(BIN)/ruff check limpetroute tests
	$(BIN)/flake8 limpetroute tests
	$(BIN)/lint-imports --no-cache
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff check --fix limpetroute tests
	$(BIN)/ruff format limpetroute tests

clean:
	rm -rf build dist .venv
