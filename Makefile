PYTHON ?= python3
VENV = .venv
BIN = $(VENV)/bin
PACKAGES = packages/core packages/wire packages/adapters packages/daemon packages/gateway packages/cli packages/standins platform
EDITABLE = $(foreach package,$(PACKAGES),-e $(package))
STAMP = $(VENV)/.installed

.PHONY: install demo serve test bench check format generate clean

install: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $(STAMP)

demo: install
	$(BIN)/python demo/demo.py

serve: install
	$(BIN)/python demo/demo.py --serve

test: install
	$(BIN)/python tools/run_tests.py

bench: install
	$(BIN)/python -m bench

check: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Needs Debian's thrift-compiler; the output is committed.
generate:
	bash packages/wire/generate.sh

clean:
	rm -rf $(VENV)
