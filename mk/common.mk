# Compiler settings of all Makefiles. TOP is the root of the tree; set it first.
PKGS = talloc tevent libzmq libmicrohttpd libcurl glib-2.0 gio-2.0 jansson msgpack \
	libxxhash libsodium
CC ?= cc
CXX ?= c++
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
CPPFLAGS += -D_GNU_SOURCE -I$(TOP) $(PKG_CFLAGS)
WARN = -Wall -Wextra -Wno-unused-parameter -Wshadow -Wmissing-prototypes \
	-Wstrict-prototypes -Wpointer-arith -Wvla
OPT ?= -O2 -g
# Sanitizers, e.g. address,undefined; see mk/sanitize.sh.
SANITIZE ?=
ifneq ($(SANITIZE),)
SAN_FLAGS = -fsanitize=$(SANITIZE) -fno-sanitize-recover=undefined \
	-Wno-error=format-truncation
endif
CFLAGS += -std=gnu11 $(OPT) $(WARN) -Werror -fno-omit-frame-pointer $(SAN_FLAGS)
CXXFLAGS += -std=gnu++17 $(OPT) -Wall -Wextra -Wno-unused-parameter \
	-Wno-missing-field-initializers $(SAN_FLAGS)
LIBGC = $(TOP)/libgoldcrest.a
LDLIBS = $(SAN_FLAGS) $(LIBGC) $(PKG_LIBS) -lhttp_parser -lpthread -lm
