/* Addresses of servers and daemons, as IP:PORT. */
#ifndef GC_CORE_ADDRESS_H
#define GC_CORE_ADDRESS_H

#include <stdbool.h>

#include "core/str.h"

/* True for the IPv4 address of a single host and a port from 1 to 65535, both in
 * their usual decimal form. */
bool gc_address_is_host_port(gc_str_t address);

#endif
