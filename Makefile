# `make demo` builds and runs the demo; `make check` builds and runs the tests.
# Both install the packages that they need.
PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: demo check build packages format lint

demo: build
	bash demo/demo.sh $(BUILD)

check: build
	ctest --test-dir $(BUILD) --output-on-failure --parallel 3

build: packages
	cmake --preset $(PRESET)
	cmake --build $(BUILD)

packages:
	bash install-packages.sh

format:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

lint: build
	bash .ci/lint $(BUILD)
