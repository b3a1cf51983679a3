# Commands for users and developers. `make help` lists them.
VENV := .venv
PYTHON ?= python3
BIN := $(VENV)/bin
CASE ?= path
SEED ?= 1
SEEDS ?= 1-3
SECONDS_EACH ?= 20

.PHONY: help install demo test bench soak golden format lint types check clean

help:  ## List the commands.
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

$(BIN)/.installed: pyproject.toml
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	@$(BIN)/python -m pip install --quiet --disable-pip-version-check --editable '.[dev]' 1>&2
	@touch $@

install: $(BIN)/.installed  ## Create the environment and install citronwinch in it.

demo: install  ## Run the whole path on loopback and print what happened to every flow.
	@$(BIN)/citronwinchctl demo --seed $(SEED)

test: install  ## Run all tests.
	@$(BIN)/python -m pytest

bench: install  ## Print one benchmark as JSON: make -s bench CASE=path SEED=1
	@$(BIN)/python -m citronwinch.benches --case $(CASE) --seed $(SEED)

soak: install  ## Play seeds of the fault soak: make soak SEEDS=1-50 SECONDS_EACH=20
	@$(BIN)/python -m citronwinch.soak --seeds $(SEEDS) --seconds-each $(SECONDS_EACH)

golden: install  ## Write the golden session files anew, after a change of behaviour.
	@$(BIN)/python -m citronwinch.coordination.tests._session_script

format: install  ## Format the code.
	@$(BIN)/ruff format citronwinch
	@$(BIN)/ruff check --fix citronwinch

lint: install  ## Check formatting and lint rules.
	@$(BIN)/ruff format --check citronwinch
	@$(BIN)/ruff check citronwinch

types: install  ## Check types strictly.
	@$(BIN)/mypy

check: lint types test  ## All checks.

clean:  ## Remove the environment.
	rm -rf $(VENV) build
