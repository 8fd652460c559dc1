VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
PACKAGES := core state jobs scheduling service cli standins
SOURCES := $(foreach p,$(PACKAGES),packages/agateferry-$(p))
EMPTY :=
SPACE := $(EMPTY) $(EMPTY)
export PYTHONPATH := $(subst $(SPACE),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/agateferry-$(p)))
export PATH := $(abspath $(BIN)):$(PATH)

.PHONY: setup demo test lint format measure simulate bench budget capacity soak generate

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt $(foreach s,$(SOURCES),-e $(s))
	touch $@

test: setup
	$(BIN)/python -m pytest -n 6 -m "not flood"
	$(BIN)/python -m pytest -m flood

lint: setup
	$(BIN)/black --check -q packages platform
	$(BIN)/ruff check -q packages platform
	$(BIN)/mypy $(foreach p,$(PACKAGES),packages/agateferry-$(p)/agateferry_$(p)) \
		platform/agateferry_platform
	$(BIN)/lint-imports --no-cache

format: setup
	$(BIN)/black -q packages platform
	$(BIN)/ruff check -q --fix packages platform

generate: setup
	$(BIN)/python tools/generate.py
	$(BIN)/python tools/events.py
	$(BIN)/python tools/settings.py
	$(BIN)/python tools/metrics.py

demo: setup
	$(BIN)/python -m agateferry_standins.demo

measure: setup
	$(BIN)/python -m agateferry_scheduling.measure

simulate: setup
	$(BIN)/python -m agateferry_jobs.simulation --load surge
	$(BIN)/python -m agateferry_jobs.simulation --load heavy
	$(BIN)/python -m agateferry_jobs.simulation --load straps-surge

bench: setup
	$(BIN)/python -m agateferry_state.replica.bench

budget: setup
	$(BIN)/python tools/role_budget.py
	$(BIN)/python -m agateferry_standins.budget

capacity: setup
	$(BIN)/python -m agateferry_standins.capacity

soak: setup
	$(BIN)/python -m agateferry_standins.soak
