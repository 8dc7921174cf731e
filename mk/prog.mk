# Builds the program PROG from SRCS, by default all C files of the directory.
# Set PROG and TOP first.
include $(TOP)/mk/common.mk

SRCS ?= $(wildcard *.c)
OBJS = $(SRCS:.c=.o)

all: $(PROG)

$(PROG): $(OBJS) $(LIBGC)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $(OBJS) $(LDLIBS)

%.o: %.c
	@echo CC $<; $(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

clean:
	rm -f $(PROG) *.o *.d

-include $(OBJS:.o=.d)

.PHONY: all clean
