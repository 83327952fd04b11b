# Every target sets itself up; PORT=, VENV=, PYTHON= and TEST_PROCESSES= may
# be given.
PYTHON ?= python3
VENV ?= .venv
PORT ?= 8080
BIN := $(VENV)/bin
STAMP := $(VENV)/.locked
# Long tests wait for processes of their own most of the time.
TEST_PROCESSES ?= 3
# Tests of memory and descriptors, which no other test may run beside.
ALONE := tests/clients
SOURCES := limpetroute tests build_tools

.PHONY: demo test lint dead format dist clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -r requirements.lock
	touch $@

demo: $(STAMP)
	$(BIN)/python -m limpetroute demo --port $(PORT)

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadfile \
	    --ignore=$(ALONE)
	$(BIN)/python -m pytest $(ALONE)

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/lint-imports --no-cache
	$(BIN)/mypy

dead: $(STAMP)
	$(BIN)/python build_tools/dead_code.py

format: $(STAMP)
	$(BIN)/ruff check --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

dist: $(STAMP)
	$(BIN)/python build_tools/build_dist.py dist/limpetroute

clean:
	rm -rf build dist .venv
