/* At-most-once claims: keys, the shard record and its state machine. */
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

/* Records of one hour; spreads the writes of a busy hour. */
#define GC_CLAIM_SHARDS 64
/* A key is remembered this long after its time stamp. */
#define GC_CLAIM_RETENTION_MS (24 * 3600 * INT64_C(1000))
/*
 * A record is deleted once its hour ended this long ago. The hour beyond the
 * retention allows for daemons whose clocks differ.
 */
#define GC_CLAIM_DELETE_HOURS 25
/* Common start of the names of all records. */
#define GC_CLAIM_PREFIX "claims/"
/* A caller's clock may be this far ahead of the daemon's. */
#define GC_CLAIM_FUTURE_MS (5 * 60 * INT64_C(1000))
/* Longer bodies are not stored with the outcome (bytes). */
#define GC_CLAIM_BODY_MAX 256
/* The key-value service takes values up to 1 MB. */
#define GC_CLAIM_RECORD_BYTES 1000000
/*
 * New claims are refused above this size, so that the outcomes of the claims
 * in the record still fit, at least without their bodies.
 */
#define GC_CLAIM_REFUSE_BYTES 900000
/* Text sizes with their NUL. */
#define GC_CLAIM_NAME_MAX  48
#define GC_CLAIM_HASH_MAX  23
#define GC_CLAIM_NONCE_MAX 17
#define GC_UUID_MAX	   37

/* Identifies one attempt to claim a key; a plain value. */
typedef struct gc_claim {
	char record[GC_CLAIM_NAME_MAX]; /* claims/HOUR/SHARD */
	char key[GC_CLAIM_HASH_MAX]; /* hash of account and key */
	char request[GC_CLAIM_HASH_MAX]; /* hash of the request */
	char nonce[GC_CLAIM_NONCE_MAX]; /* unique to this attempt */
} gc_claim_t;

typedef enum gc_claim_age {
	GC_CLAIM_CURRENT,
	GC_CLAIM_EXPIRED, /* older than the retention */
	GC_CLAIM_FUTURE, /* too far ahead of the daemon's clock */
} gc_claim_age_t;

/*
 * Parses the text form of a UUID version 7 (RFC 9562). canonical gets it in
 * lower case, unix_ms its time stamp. False if it is something else.
 */
bool gc_uuid7_parse(gc_str_t text, char canonical[GC_UUID_MAX],
		    uint64_t *unix_ms);
gc_claim_age_t gc_claim_age(uint64_t unix_ms, struct timespec wall);
/*
 * True if the name is that of a record whose keys are all refused as expired,
 * so that it can be deleted. False for any other name.
 */
bool gc_claim_record_expired(const char *name, struct timespec wall);
/*
 * Sets all members but the nonce. request describes what the key stands for:
 * the same key with another request is refused.
 */
void gc_claim_set(gc_claim_t *claim, gc_str_t account, gc_str_t uuid,
		  uint64_t unix_ms, gc_str_t request);
void gc_claim_set_nonce(gc_claim_t *claim, uint64_t nonce);

typedef enum gc_claim_verdict {
	GC_CLAIM_GRANTED, /* dispatch, once */
	GC_CLAIM_KNOWN, /* ran before; its outcome is stored */
	GC_CLAIM_IN_DOUBT, /* another attempt claimed it; no outcome yet */
	GC_CLAIM_REFUSED, /* this attempt was not and will not be run */
} gc_claim_verdict_t;

typedef struct gc_claim_answer {
	gc_claim_verdict_t verdict;
	uint64_t
		fence; /* granted: grows with the claiming writes of a record */
	int status; /* known: HTTP status */
	bool has_body; /* known: false if the body was too long to store */
	gc_str_t body;
	/*
	 * Refused: GC_ERR_TIMEOUT (deadline), GC_ERR_TOO_LARGE (record full),
	 * GC_ERR_CONFLICT (the key was used for another request).
	 */
	const GError *err;
} gc_claim_answer_t;

typedef enum gc_claim_write {
	GC_CLAIM_WRITTEN,
	GC_CLAIM_CONFLICT, /* the index differs; nothing was written */
	GC_CLAIM_UNKNOWN, /* may have taken effect, or may do so later */
	GC_CLAIM_NOT_SENT, /* nothing was written */
	GC_CLAIM_TOO_LARGE, /* the service refuses the size */
} gc_claim_write_t;

/* The state machine of one record in one daemon. */
typedef struct gc_claim_record gc_claim_record_t;

/*
 * Actions. Each read and write gets one answer, by read_done or write_done and
 * not from within the action; no more than one is open. A callback may add to
 * the record but not destroy it.
 */
typedef struct gc_claim_ops {
	void (*read)(void *ctx, gc_claim_record_t *record);
	void (*write)(void *ctx, gc_claim_record_t *record, uint64_t index,
		      gc_str_t value);
	/* Called once for each gc_claim_record_claim. */
	void (*answer)(void *ctx, void *claim_ctx,
		       const gc_claim_answer_t *answer);
} gc_claim_ops_t;

/* random must outlive the record. batch_ms: see gc_claim_record_claim. */
gc_claim_record_t *gc_claim_record_create(TALLOC_CTX *mem, const char *name,
					  unsigned int batch_ms,
					  const gc_random_t *random,
					  const gc_claim_ops_t *ops, void *ctx);
const char *gc_claim_record_name(const gc_claim_record_t *record);
/*
 * Asks for the claim; waits up to batch_ms for others to share the write.
 * Without a definite answer by the deadline (monotonic) it is refused, and
 * released in the background if it may be in the record.
 */
void gc_claim_record_claim(gc_claim_record_t *record, const gc_claim_t *claim,
			   struct timespec deadline, void *claim_ctx,
			   struct timespec now);
/* Stores the outcome of a granted claim. */
void gc_claim_record_finish(gc_claim_record_t *record, const gc_claim_t *claim,
			    int status, gc_str_t body, struct timespec now);
/* Gives a granted claim back. Only when provably nothing was dispatched. */
void gc_claim_record_release(gc_claim_record_t *record, const gc_claim_t *claim,
			     struct timespec now);

/* ok false: no definite answer. index 0 and empty: the record is absent. */
void gc_claim_record_read_done(gc_claim_record_t *record, bool ok,
			       gc_str_t value, uint64_t index,
			       struct timespec now);
void gc_claim_record_write_done(gc_claim_record_t *record,
				gc_claim_write_t result, struct timespec now);
/* Call at the time that gc_claim_record_wakeup gives, or earlier. */
void gc_claim_record_tick(gc_claim_record_t *record, struct timespec now);
/* False if only a call or an answer can bring something to do. */
bool gc_claim_record_wakeup(const gc_claim_record_t *record,
			    struct timespec *at);
/* True if nothing is open, and the record can be destroyed. */
bool gc_claim_record_idle(const gc_claim_record_t *record);

#endif
