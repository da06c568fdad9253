# Commands of the project; README.md lists them.
BUILD ?= build/release
CTEST_ARGS ?= --output-on-failure -j 6

.PHONY: deps build test unit demo bench format lint fuzz test-asan test-tsan install

deps:
	@scripts/install_packages.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
	@cmake --build $(BUILD)

# Formatter check, linter, a short fuzz run and every test; closes with
# ctest's summary.
test: build
	@scripts/check_format.sh
	@scripts/lint.sh $(BUILD)
	@scripts/fuzz.sh
	@scripts/run_tests.sh $(BUILD) $(CTEST_ARGS)

unit: build
	@scripts/run_tests.sh $(BUILD) $(CTEST_ARGS)

demo: build
	@scripts/demo.sh $(BUILD)

bench: build
	@scripts/bench.sh $(BUILD)

format:
	@git ls-files -z --cached --others --exclude-standard '*.cpp' '*.h' | \
	  xargs -0 clang-format -i

lint: build
	@scripts/lint.sh $(BUILD)

# Longer runs: scripts/fuzz.sh SECONDS
fuzz: deps
	@scripts/fuzz.sh

test-asan: deps
	@cmake -S . -B build/asan -G Ninja -DCMAKE_BUILD_TYPE=Release \
	  -DCORIANDERRAIL_SANITIZE=address,undefined >/dev/null
	@cmake --build build/asan
	@scripts/run_tests.sh build/asan $(CTEST_ARGS)

test-tsan: deps
	@cmake -S . -B build/tsan -G Ninja -DCMAKE_BUILD_TYPE=Release \
	  -DCORIANDERRAIL_SANITIZE=thread >/dev/null
	@cmake --build build/tsan
	@TSAN_OPTIONS=suppressions=$(CURDIR)/tests/tsan.supp \
	  scripts/run_tests.sh build/tsan $(CTEST_ARGS)

install: build
	@cmake --install $(BUILD)
