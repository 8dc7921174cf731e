/*
 * Claims of idempotency keys, so that the action of a key is dispatched at most
 * once. The claims are stored in the key-value service, in one record for each
 * hour of the keys' time stamps and shard.
 */
#ifndef GC_CORE_CLAIM_H
#define GC_CORE_CLAIM_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>
#include <talloc.h>

#include "core/clock.h"
#include "core/placement.h"
#include "core/str.h"

/* Records (shards) for each hour, to spread the writes. */
#define GC_CLAIM_SHARDS 64
/* A key is accepted, and its claim kept, for this long after its time stamp. */
#define GC_CLAIM_RETENTION_MS (24 * 3600 * INT64_C(1000))
/*
 * A record is deleted this long after the end of its hour: one hour more than
 * the retention, because the clocks of daemons can differ.
 */
#define GC_CLAIM_DELETE_AFTER_HOURS 25
/* Prefix of the names of all records. */
#define GC_CLAIM_PREFIX "claims/"
/* The caller's clock may be at most this far ahead of the daemon's. */
#define GC_CLAIM_MAX_CLOCK_SKEW_MS (5 * 60 * INT64_C(1000))
/* Longer response bodies are not stored with the outcome. */
#define GC_CLAIM_BODY_MAX_BYTES 256
/* The key-value service accepts values of up to 1 MB. */
#define GC_CLAIM_RECORD_MAX_BYTES 1000000
/*
 * Above this size the record takes no new claims, so that the outcomes of its
 * claims still fit, at least without their bodies.
 */
#define GC_CLAIM_RECORD_FULL_BYTES 900000
/* Sizes of strings, with the NUL. */
#define GC_CLAIM_RECORD_NAME_MAX 48
#define GC_CLAIM_HASH_MAX	 23
#define GC_CLAIM_NONCE_MAX	 17
#define GC_UUID_MAX		 37

/* Identifies one attempt to claim a key; owns no memory. */
typedef struct gc_claim {
	char record[GC_CLAIM_RECORD_NAME_MAX]; /* claims/HOUR/SHARD */
	char key[GC_CLAIM_HASH_MAX]; /* hash of client account and key */
	char request[GC_CLAIM_HASH_MAX]; /* hash of the request */
	char nonce[GC_CLAIM_NONCE_MAX]; /* unique to this attempt */
} gc_claim_t;

typedef enum gc_claim_age {
	GC_CLAIM_CURRENT,
	GC_CLAIM_EXPIRED, /* older than the retention */
	GC_CLAIM_FUTURE, /* too far ahead of the daemon's clock */
} gc_claim_age_t;

/*
 * Parses the text form of a UUID version 7 (RFC 9562). Sets canonical to its
 * lower-case form and unix_ms to its time stamp. False if text is not one.
 */
bool gc_uuid7_parse(gc_str_t text, char canonical[GC_UUID_MAX],
		    uint64_t *unix_ms);
gc_claim_age_t gc_claim_age(uint64_t unix_ms, struct timespec wall);
/*
 * True if name is that of a record all of whose keys are refused as expired, so
 * that it can be deleted. False for any other name.
 */
bool gc_claim_record_expired(const char *name, struct timespec wall);
/*
 * Sets all members but the nonce. request identifies the request that the key
 * was sent with: the same key with another request is refused.
 */
void gc_claim_init(gc_claim_t *claim, gc_str_t account, gc_str_t uuid,
		   uint64_t unix_ms, gc_str_t request);
void gc_claim_set_nonce(gc_claim_t *claim, uint64_t nonce);

typedef enum gc_claim_verdict {
	GC_CLAIM_GRANTED, /* the action is to be dispatched, once */
	GC_CLAIM_COMPLETED, /* completed before; the outcome is stored */
	GC_CLAIM_IN_DOUBT, /* claimed by another attempt; no outcome stored */
	GC_CLAIM_REFUSED, /* not granted, and never will be */
} gc_claim_verdict_t;

typedef struct gc_claim_answer {
	gc_claim_verdict_t verdict;
	uint64_t fence; /* granted: fencing token, grows with each write */
	int status; /* completed: HTTP status */
	bool has_body; /* completed: false if the body was not stored */
	gc_str_t body;
	/*
	 * Refused: GC_ERR_TIMEOUT (deadline), GC_ERR_TOO_LARGE (record full),
	 * GC_ERR_CONFLICT (the key was used for another request). Valid during
	 * the answer callback, as is body.
	 */
	const GError *err;
} gc_claim_answer_t;

typedef enum gc_claim_write_result {
	GC_CLAIM_WRITE_OK,
	GC_CLAIM_WRITE_CONFLICT, /* index has changed; nothing was written */
	GC_CLAIM_WRITE_UNKNOWN, /* may have taken effect, or may yet do so */
	GC_CLAIM_WRITE_NOT_SENT, /* nothing was written */
	GC_CLAIM_WRITE_TOO_LARGE, /* over the service's limit; not written */
} gc_claim_write_result_t;

/* State machine of one record in one daemon. */
typedef struct gc_claim_record gc_claim_record_t;

/*
 * Callbacks. At most one read or write is in flight. Each must be completed
 * once, by gc_claim_record_read_done or gc_claim_record_write_done, and not
 * from within the callback. A callback may start further operations on the
 * record but must not destroy it.
 */
typedef struct gc_claim_ops {
	void (*read)(void *ctx, gc_claim_record_t *record);
	/* Compare-and-swap at index (0: the record does not exist). */
	void (*write)(void *ctx, gc_claim_record_t *record, uint64_t index,
		      gc_str_t value);
	/* Answers a claim; called once for each gc_claim_record_claim. */
	void (*answer)(void *ctx, void *claim_ctx,
		       const gc_claim_answer_t *answer);
} gc_claim_ops_t;

/* random must outlive the record; ops is copied. */
gc_claim_record_t *gc_claim_record_create(TALLOC_CTX *mem, const char *name,
					  unsigned int batch_ms,
					  const gc_random_t *random,
					  const gc_claim_ops_t *ops, void *ctx);
const char *gc_claim_record_name(const gc_claim_record_t *record);
/*
 * Requests the claim. Waits up to batch_ms for other operations that can share
 * the write. Without a definite result by the deadline (monotonic) the claim is
 * refused; if it may be in the record, it is released in the background.
 */
void gc_claim_record_claim(gc_claim_record_t *record, const gc_claim_t *claim,
			   struct timespec deadline, void *claim_ctx,
			   struct timespec now);
/* Stores the outcome of a granted claim. */
void gc_claim_record_finish(gc_claim_record_t *record, const gc_claim_t *claim,
			    int status, gc_str_t body, struct timespec now);
/* Releases a granted claim. Only if certainly nothing was dispatched. */
void gc_claim_record_release(gc_claim_record_t *record, const gc_claim_t *claim,
			     struct timespec now);

/*
 * Completes a read. ok is false if it had no definite result; index 0 with an
 * empty value means that the record does not exist.
 */
void gc_claim_record_read_done(gc_claim_record_t *record, bool ok,
			       gc_str_t value, uint64_t index,
			       struct timespec now);
void gc_claim_record_write_done(gc_claim_record_t *record,
				gc_claim_write_result_t result,
				struct timespec now);
/* To be called at the time that gc_claim_record_wakeup gives, or earlier. */
void gc_claim_record_tick(gc_claim_record_t *record, struct timespec now);
/* Sets at to the time of the next tick. False if no tick is needed. */
bool gc_claim_record_wakeup(const gc_claim_record_t *record,
			    struct timespec *at);
/* True if nothing is pending or in flight, so the record can be destroyed. */
bool gc_claim_record_idle(const gc_claim_record_t *record);

#endif
