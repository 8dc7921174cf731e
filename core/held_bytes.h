/*
 * Decides which connections a daemon ends when it buffers too much for peers that
 * read slowly. Keeps an account of each caller's connection, without I/O.
 */
#ifndef GC_CORE_HELD_BYTES_H
#define GC_CORE_HELD_BYTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

typedef struct gc_held_bytes gc_held_bytes_t;
/* What is buffered for one connection of a caller, for its request's server, too. */
typedef struct gc_held_account gc_held_account_t;

typedef enum gc_held_part {
	/* These wait for a peer: */
	GC_HELD_UPLOAD, /* of a request that is being received, with its rest */
	GC_HELD_TO_SERVER, /* of a request, not accepted by the kernel */
	GC_HELD_TO_CALLER, /* of a response, not accepted by the kernel */
	/* These don't: */
	GC_HELD_REQUEST, /* kept for further attempts, or received early */
	GC_HELD_RESPONSE, /* not forwarded yet */
	GC_HELD_N_PARTS,
} gc_held_part_t;

/* Most unsent bytes of a connection below the soft part of the bound. */
#define GC_HELD_FULL_ALLOWANCE 32768

/* max_bytes: over all accounts. */
gc_held_bytes_t *gc_held_bytes_create(TALLOC_CTX *mem, uint64_t max_bytes);
/* ctx is returned by gc_held_account_ctx. Freed with talloc_free. */
gc_held_account_t *gc_held_account_create(TALLOC_CTX *mem,
					  gc_held_bytes_t *held, void *ctx);
void *gc_held_account_ctx(const gc_held_account_t *account);
/* The part has these bytes now. */
void gc_held_set(gc_held_account_t *account, gc_held_part_t part, size_t bytes,
		 struct timespec now);
size_t gc_held_part(const gc_held_account_t *account, gc_held_part_t part);
/* A peer has taken, or sent, bytes of the parts that wait for it. */
void gc_held_add_progress(gc_held_account_t *account, uint64_t bytes,
			  struct timespec now);
/* Another peer is waited for from now on. */
void gc_held_restart_progress(gc_held_account_t *account);
/* Bytes of all parts. */
uint64_t gc_held_account_bytes(const gc_held_account_t *account);
/* Progress in the last seconds. */
uint64_t gc_held_recent_progress(gc_held_account_t *account,
				 struct timespec now);
/* Time for which bytes have waited for a peer without a break; 0: none wait. */
int64_t gc_held_waiting_ms(const gc_held_account_t *account,
			   struct timespec now);

uint64_t gc_held_total(const gc_held_bytes_t *held);
uint64_t gc_held_max(const gc_held_bytes_t *held);
/* True in the soft part of the bound, which begins at 30 % of it. */
bool gc_held_is_pressed(const gc_held_bytes_t *held);
/* True from 55 % of the bound on, where connections are ended. */
bool gc_held_is_exceeded(const gc_held_bytes_t *held);
/*
 * Unsent bytes of a connection above which its source isn't read; shrinks to 0 from the
 * begin of the soft part to where connections are ended.
 */
size_t gc_held_allowance(const gc_held_bytes_t *held);
/* True if an upload of these bytes may be read now. */
bool gc_held_has_room(const gc_held_bytes_t *held, uint64_t bytes);
/* The accounts of which bytes wait for a peer; NULL: the end. */
gc_held_account_t *gc_held_first_waiting(gc_held_bytes_t *held);
gc_held_account_t *gc_held_next_waiting(gc_held_account_t *account);
/*
 * The account to end: the one with the least progress in the last seconds, and of
 * several the one that holds most. Never one whose peer has been waited for only
 * shortly, or has taken as much as waits for it now. NULL if there is none.
 */
gc_held_account_t *gc_held_choose(gc_held_bytes_t *held, struct timespec now);

#endif
