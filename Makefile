# The developers' and the users' commands; each sets up what it needs.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SECONDS ?= 120
SEED ?= 1

.PHONY: setup demo test soak lint format docs check-model bench compare capacity \
	counters soak-direct

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt requirements-dev.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps $(foreach p,core dispatch tools bench,-e packages/$(p)) -e platform
	touch $@

demo: setup
	$(BIN)/jujubeglade demo

test: setup
	$(BIN)/python -m features.run

check-model: setup
	$(BIN)/python -m jujubeglade.model

soak: setup
	$(BIN)/python -m jujubeglade.bench.soak --seconds $(SECONDS) --seed $(SEED)

lint: setup
	$(BIN)/ruff format --check packages platform features
	$(BIN)/ruff check packages platform features

format: setup
	$(BIN)/ruff format packages platform features
	$(BIN)/ruff check --fix packages platform features

docs: setup
	$(BIN)/python -m jujubeglade.core.settings_page > docs/SETTINGS.md

soak-direct: setup
	$(BIN)/python -m jujubeglade.bench.direct_soak --seconds $(SECONDS) --seed $(SEED)

# One scenario: make bench RUN=load80. Longer: make bench OPTIONS=--full.
bench: setup
	$(BIN)/python -m jujubeglade.bench $(RUN) --seed $(SEED) $(OPTIONS)

compare: setup
	$(BIN)/python -m jujubeglade.bench compare-placement compare-queueing compare-homes

# The users' counters in virtual time: make counters OPTIONS="--share 1.8 --burst 1".
counters: setup
	$(BIN)/python -m jujubeglade.bench.counters $(OPTIONS)

capacity: setup
	$(BIN)/python -m jujubeglade.bench capacity-fleet capacity-entries \
		capacity-tasks capacity-memory capacity-changes
