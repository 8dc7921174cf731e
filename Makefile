# Targets: all (default), check, check-repeat, check-sanitize, check-threads, demo, bench, lint, format, deploy, clean.
TOP = .

DEBS = libtalloc-dev libtevent-dev libzmq3-dev libmicrohttpd-dev \
	libcurl4-openssl-dev libglib2.0-dev libjansson-dev libmsgpack-dev \
	libxxhash-dev libsodium-dev libhttp-parser-dev check librapidcheck-dev python3-cram \
	gcc g++ make pkg-config python3 curl procps
LINT_DEBS = clang-format clang-tidy mandoc
PROGS = goldcrestd goldcrestctl goldcrestcall standins/engine \
	standins/platform standins/backend bench
LIB_SRCS = $(wildcard core/*.c lib/*.c platform/*.c)
LIB_OBJS = $(LIB_SRCS:.c=.o)
C_FILES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' '*.cc')

all: setup
	+@$(MAKE) --no-print-directory build

include mk/common.mk

# Installs missing Debian packages; setup-lint those of format-check and lint.
setup:
	@mk/setup.sh $(DEBS)

setup-lint:
	@mk/setup.sh $(LINT_DEBS)

build: libgoldcrest.a
	+@for d in $(PROGS); do \
		[ -z "$$(ls $$d/*.c 2>/dev/null)" ] || \
		$(MAKE) --no-print-directory -C $$d || exit 1; \
	done

# Built anew when the revision changes.
BUILD ?= $(shell git describe --always --dirty 2>/dev/null || echo unknown)
lib/build.o: CPPFLAGS += -DGC_BUILD='"$(BUILD)"'
lib/build.o: $(wildcard .git/logs/HEAD)

libgoldcrest.a: $(LIB_OBJS)
	@rm -f $@
	@echo AR $@; $(AR) rcs $@ $(LIB_OBJS)

%.o: %.c
	@echo CC $<; $(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

check: all
	+@$(MAKE) --no-print-directory -C regress check

# The scripted tests in SCRIPTS, all by default, N times beside each other.
check-repeat: all
	+@$(MAKE) --no-print-directory -C regress check-repeat

# The tests that need no more time under sanitizers, in a copy of the tree.
check-sanitize: setup
	@mk/sanitize.sh

# Scripted tests with the thread sanitizer, in a copy of the tree.
check-threads: setup
	@mk/threads.sh

demo: all
	@bench/demo.sh

bench: all
	@bench/bench.sh

# Builds target/goldcrestd for deploy/system.toml.
deploy:
	@mk/deploy.sh

format:
	clang-format -i $(C_FILES)

format-check: setup-lint
	clang-format --dry-run -Werror $(C_FILES)

lint: setup setup-lint
	@mk/lint.sh "$(CPPFLAGS)"

clean:
	rm -f libgoldcrest.a core/*.[od] lib/*.[od] platform/*.[od]
	@for d in $(PROGS) regress; do \
		[ ! -f $$d/Makefile ] || $(MAKE) --no-print-directory -C $$d clean; \
	done

-include $(LIB_OBJS:.o=.d)

.PHONY: deploy all setup setup-lint build check check-repeat check-sanitize check-threads demo bench format format-check lint clean
