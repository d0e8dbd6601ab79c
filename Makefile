# Targets for developers and CI; CMake builds the project.
BUILD ?= build
JOBS ?= $(shell nproc)
GENERATOR ?= Ninja
CCACHE = $(shell command -v ccache 2>/dev/null)
LAUNCHER = $(if $(CCACHE),-DCMAKE_CXX_COMPILER_LAUNCHER=$(CCACHE))

.PHONY: all setup build test demo bench soak sanitize format format-check lint proto install clean

all: build

setup:
	@scripts/setup.sh

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G $(GENERATOR) -DCMAKE_BUILD_TYPE=RelWithDebInfo $(LAUNCHER)

build: setup
	cmake -S . -B $(BUILD) -G $(GENERATOR) -DCMAKE_BUILD_TYPE=RelWithDebInfo $(LAUNCHER) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

# Tests that KNOWN-RED.txt lists are printed and left out.
KNOWN_RED = $(shell scripts/known_red.sh | paste -sd'|')
CTEST = ctest --output-on-failure -j 4 $(if $(KNOWN_RED),-E '^($(KNOWN_RED))$$')

test: build
	@echo "known red, not run: $(or $(KNOWN_RED),none)"
	$(CTEST) --test-dir $(BUILD)

SEED ?= 1
SECONDS ?= 30

soak: build
	CASSIAUSHER_SOAK_SEED=$(SEED) CASSIAUSHER_SOAK_SECONDS=$(SECONDS) $(BUILD)/bin/routing_tests -g Policies -n Soak

sanitize: setup
	cmake -S . -B build-sanitize -G $(GENERATOR) -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCASSIAUSHER_SANITIZE=ON $(LAUNCHER) >/dev/null
	cmake --build build-sanitize -j $(JOBS)
	$(CTEST) -LE soak --test-dir build-sanitize

demo: build
	@python3 scripts/demo.py

bench: build
	@python3 scripts/policy_figures.py
	@python3 scripts/speed.py
	@python3 scripts/idle.py
	@python3 scripts/restart.py
	@python3 scripts/live_bench.py

PREFIX ?= /usr/local
install: build
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man8 $(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/lib/systemd/system
	install -m 755 $(BUILD)/bin/cassiausherd $(BUILD)/bin/cassiausherctl $(DESTDIR)$(PREFIX)/bin
	install -m 644 docs/man/cassiausherd.8 $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 644 docs/man/cassiausherctl.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 scripts/cassiausherd.service $(DESTDIR)$(PREFIX)/lib/systemd/system

format:
	scripts/sources.sh | xargs clang-format -i

format-check:
	scripts/sources.sh | xargs clang-format --dry-run --Werror

lint: build
	python3 scripts/lint.py $(BUILD)

proto:
	cd proto && protoc --cpp_out=gen *.proto

clean:
	rm -rf $(BUILD) build-sanitize
