PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
SEEDS ?= 20
CODE = wasabistream wasabistream_tools tests

.PHONY: setup demo test format lint types unit history

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: setup
	$(BIN)/python -m wasabistream_tools.demo

test: format lint types unit

format: setup
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)

lint: setup
	$(BIN)/flake8 $(CODE)

types: setup
	$(BIN)/mypy $(CODE)

unit: setup
	$(BIN)/python -m wasabistream_tools.checks

history: setup
	$(BIN)/python -m wasabistream_tools.history --seeds $(SEEDS)
