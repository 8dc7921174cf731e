/*
 * Keeps to the bound over all that a daemon buffers: counts the bytes of callers'
 * connections, delays large uploads, and ends connections whose peers read least. For
 * one traffic thread.
 */
#ifndef GC_LIB_BUFFER_BOUND_H
#define GC_LIB_BUFFER_BOUND_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "core/clock.h"
#include "core/held_bytes.h"
#include "core/str.h"
#include "lib/timer.h"

typedef struct gc_buffer_bound gc_buffer_bound_t;
/* What is counted of one connection. */
typedef struct gc_buffer_account gc_buffer_account_t;

/* ctx is that of the account. */
typedef struct gc_buffer_ops {
	/* Sets the parts that wait for peers, and adds the progress. */
	void (*refresh)(void *ctx);
	/* Goes on to read the upload that was delayed. */
	void (*resume)(void *ctx);
	/* Goes on to read the server that was stopped. */
	void (*resume_source)(void *ctx);
	/* Id of the request; empty if unknown. */
	gc_str_t (*request_id)(void *ctx);
	/* Ends the connection or its request, which lowers what is held. */
	void (*end)(void *ctx);
} gc_buffer_ops_t;

/* Most bytes of a connection that the kernel buffers beyond those in flight. A peer that
 * doesn't read has none in flight, as its window is full. */
#define GC_KERNEL_UNSENT_BYTES 16384
/* Uploads up to this size are never delayed. */
#define GC_SMALL_UPLOAD_BYTES 65536

gc_buffer_bound_t *gc_buffer_bound_create(TALLOC_CTX *mem, gc_timers_t *timers,
					  const gc_clock_t *clock,
					  uint64_t max_bytes);
gc_buffer_account_t *gc_buffer_account_create(TALLOC_CTX *mem,
					      gc_buffer_bound_t *bound,
					      const gc_buffer_ops_t *ops,
					      void *ctx);
/* The following do nothing if account is NULL: there is no bound. */

/* See core/held_bytes.h. */
void gc_buffer_set(gc_buffer_account_t *account, gc_held_part_t part,
		   size_t bytes);
void gc_buffer_add_progress(gc_buffer_account_t *account, uint64_t bytes);
void gc_buffer_restart_progress(gc_buffer_account_t *account);
/* For bytes that a connection has not sent: with those that its kernel buffers. */
void gc_buffer_set_unsent(gc_buffer_account_t *account, gc_held_part_t part,
			  size_t unsent);
/*
 * To be called with the bytes of an upload, received or announced. False: it is not to
 * be read until resume is called.
 */
bool gc_buffer_admit_upload(gc_buffer_account_t *account, uint64_t bytes);
/*
 * To be called when bytes of a response were received and can't be forwarded yet. True:
 * the server is not to be read until resume_source is called, as the bound is exceeded.
 */
bool gc_buffer_stop_source(gc_buffer_account_t *account);
/* Memory of a buffer with so many bytes, which grows by doubling. */
size_t gc_buffer_memory(size_t bytes);
/* The upload is complete, or its connection carries another request. */
void gc_buffer_end_upload(gc_buffer_account_t *account);
/* Unsent bytes above which the source of a connection isn't read; fallback without a
 * bound. */
size_t gc_buffer_allowance(const gc_buffer_account_t *account, size_t fallback);

#endif
