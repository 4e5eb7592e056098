# `make run` runs the scenario scenarios/bad-day.yaml with the real proxy program. `make test` builds with
# sanitizers and runs all tests. Both first install the packages listed in packages.txt that are missing.
PACKAGES := $(shell sed '/^\#/d' packages.txt)
JOBS ?= $(shell nproc)

# Mutation test: removes one guard at a time from a copy of the source, and checks that the scenario or test
# named in tests/mutations.yaml then fails. Takes several minutes.
mutate: build
	build-programs/src/mintrock-lab mutate tests/mutations.yaml --build build-mutations

.PHONY: run test deps build mutate
deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends make $(PACKAGES); }

build: deps
	cmake -G Ninja -B build-programs -DMINTROCK_PROGRAMS=ON -DCMAKE_BUILD_TYPE=Release
	cmake --build build-programs -j $(JOBS)

run: build
	build-programs/src/mintrock-lab run scenarios/bad-day.yaml --report build-programs/bad-day/report.json \
	  --plots build-programs/bad-day

test: deps
	cmake -G Ninja -B build-tests -DMINTROCK_PROGRAMS=ON -DMINTROCK_BUILD_TESTS=ON -DMINTROCK_WERROR=ON \
	  -DMINTROCK_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g"
	cmake --build build-tests -j $(JOBS)
	tests/run_tests.sh build-tests $(JOBS)
