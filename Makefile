PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test lint format generate check-generated demo bench experiments \
	soak soak-sidecars capacity

RESULTS ?= build/experiments

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[test]'
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: $(STAMP)
	$(BIN)/python -m cyclamenwell.schema.generator

check-generated: $(STAMP)
	$(BIN)/python -m cyclamenwell.schema.generator --check

demo: $(STAMP)
	$(BIN)/python -m cyclamenwell.demo

bench: $(STAMP)
	$(BIN)/python -m cyclamenwell.load bench

# Takes about 15 minutes. Run a single file: EXPERIMENTS=experiments/x.yaml
EXPERIMENTS ?= $(sort $(wildcard experiments/*.yaml))
experiments: $(STAMP)
	$(BIN)/python -m cyclamenwell.load experiment --output $(RESULTS) \
		$(EXPERIMENTS)

# Load and faults are determined by SEED, DURATION (in seconds) and NODES.
SEED ?= 1
DURATION ?= 60
NODES ?= 14
soak: $(STAMP)
	$(BIN)/python -m cyclamenwell.soak --seed $(SEED) \
		--duration $(DURATION) --nodes $(NODES) --output build/soak

# Soak test of sidecar nodes; takes about 15 seconds longer than DURATION.
soak-sidecars: $(STAMP)
	$(BIN)/python -m cyclamenwell.soak.sidecars --seed $(SEED) \
		--duration $(DURATION) --nodes $(NODES) \
		--output build/soak/sidecars-$(SEED)

# Takes about a minute. To use results of an earlier bench run, set
# CAPACITY="--added-p99-ms X --added-processor-ms Y".
capacity: $(STAMP)
	$(BIN)/python -m cyclamenwell.capacity $(CAPACITY)
