/*
 * What a backend server says about itself in the headers of its responses: that
 * it is leaving, wants nothing from this daemon for a time, limits the requests of
 * all daemons, or is brittle.
 */
#ifndef GC_LIB_BACKEND_SIGNALS_H
#define GC_LIB_BACKEND_SIGNALS_H

#include <time.h>

#include "core/backends.h"
#include "lib/http_message.h"

/*
 * Records the signals of a response whose head is complete; leaving_header is
 * the name of that header, limit_header of the one with the limit on requests, and
 * brittle_header of the one with the number of requests a second that the server
 * may turn away. A Retry-After counts for pause_max_ms at most. Invalid values are
 * ignored.
 */
void gc_backend_read_signals(gc_backend_t *backend, struct timespec now,
			     const gc_http_message_t *response,
			     const char *leaving_header,
			     const char *limit_header,
			     const char *brittle_header, int64_t pause_max_ms);

#endif
