# The two commands of the README are `make demo` and `make test`.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core jobs document runtime entry sidecar scheduler agent daemon cli emulator
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
STAMP := $(VENV)/.installed
SEED ?= 1
STEPS ?= 2000
SEEDS ?= 1

.PHONY: install demo local test lint soak faults bench capacity format clean

install: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt setuptools wheel
	$(BIN)/python -m pip install -q -c constraints.txt --no-build-isolation \
	    $(EDITABLE) -r requirements-dev.txt
	touch $(STAMP)

demo: install
	$(BIN)/python -m kcr_emulator.demo --seed $(SEED)

local: install
	$(BIN)/python -m kcr_emulator.local --seed $(SEED)

lint: install
	$(BIN)/ruff format --check --quiet packages platform tests
	$(BIN)/flake8 packages platform tests
	$(BIN)/mypy packages platform tests
	$(BIN)/lint-imports

test: lint
	PYTHONHASHSEED=0 $(BIN)/pytest

soak: install
	$(BIN)/python tests/core/soak.py --seed $(SEED) --steps $(STEPS)

faults: install
	$(BIN)/python tests/platform/fault_soak.py --seed $(SEED) --seeds $(SEEDS)

bench: install
	$(BIN)/python -m kcr_emulator.bench --seed $(SEED)
	$(BIN)/python tests/jobs/bench_planner.py
	$(BIN)/python tests/jobs/bench_overload.py
	$(BIN)/python tests/jobs/bench_rack_wait.py
	PYTHONPATH=tests/support $(BIN)/python tests/scheduler/bench_takeover.py
	PYTHONPATH=tests/jobs:tests/support $(BIN)/python \
	    tests/platform/bench_lists.py
	PYTHONPATH=tests/support $(BIN)/python tests/platform/bench_restart.py

capacity: install
	$(BIN)/python -m kcr_emulator.capacity

format: install
	$(BIN)/ruff format packages platform tests

clean:
	rm -rf $(VENV)
