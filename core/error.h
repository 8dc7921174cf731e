/* Errors with the operation and the peer in which they occurred. */
#ifndef GC_CORE_ERROR_H
#define GC_CORE_ERROR_H

#include <glib.h>

#define GC_ERROR (gc_error_quark())

typedef enum gc_errcode {
	GC_ERR_INVALID, /* bad input: syntax, type, range */
	GC_ERR_UNAUTHORIZED, /* wrong or missing key */
	GC_ERR_NOT_FOUND,
	GC_ERR_CONFLICT, /* version or nonce differs */
	GC_ERR_TOO_LARGE,
	GC_ERR_OVERLOADED, /* refused by a limit; retry later */
	GC_ERR_UNAVAILABLE, /* temporarily impossible; retry later */
	GC_ERR_TIMEOUT,
	GC_ERR_PROTOCOL, /* a peer violated the protocol */
	GC_ERR_IO, /* connection refused, reset or closed */
	GC_ERR_CANCELLED,
	GC_ERR_LOST, /* the state no longer exists anywhere */
} gc_errcode_t;

/* Whether a refused or failed request has been run. */
typedef enum gc_run_state {
	GC_RUN_NOT_RUN,
	GC_RUN_DONE,
	GC_RUN_IN_DOUBT, /* it may have been run */
} gc_run_state_t;

GQuark gc_error_quark(void);

/*
 * Sets *err to a new error, unless err is NULL. step names the operation
 * ("claim", "attach"), peer the other side (instance name or address); both are
 * copied and may be NULL.
 */
void gc_error_set(GError **err, gc_errcode_t code, const char *step,
		  const char *peer, const char *fmt, ...) G_GNUC_PRINTF(5, 6);

/* The step or peer of an error, owned by it; "" if it has none. */
const char *gc_error_step(const GError *err);
const char *gc_error_peer(const GError *err);

/* "not_run", "done" or "in_doubt". */
const char *gc_run_state_name(gc_run_state_t state);

#endif
