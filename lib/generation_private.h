/* Declarations shared by the generation*.c files. */
#ifndef GC_LIB_GENERATION_PRIVATE_H
#define GC_LIB_GENERATION_PRIVATE_H

#include "core/stream.h"
#include "lib/account_metrics.h"
#include "lib/engine_client.h"
#include "lib/generation.h"
#include "lib/log.h"
#include "lib/reply.h"

/* One connection that starts a run on an engine or attaches to one. */
typedef struct attempt {
	struct attempt *prev, *next;
	gc_generation_t *gen;
	uint32_t number;
	gc_engine_client_t *client;
	char engine_name[GC_NAME_MAX];
	gc_in_flight_t in_flight;
	struct tevent_immediate *unlisted; /* reports a missing engine */
	bool may_be_running; /* start request sent and not refused */
	/*
	 * True if the time from last_progress to the next new token measures
	 * the engine; false from an attach until its first new token.
	 */
	bool interval_valid;
	bool got_token;
	struct timespec last_progress; /* start or last new token */
} attempt_t;

struct gc_generation {
	gc_request_ctx_t *req_ctx;
	gc_traffic_t *traffic;
	const gc_clock_t *clock;
	gc_completion_request_t *completion_request;
	char *account;
	gc_account_metrics_t *metrics;
	gc_traffic_job_t traffic_job;
	gc_admission_ticket_t *ticket;
	gc_stream_t *stream;
	gc_reply_t *reply;
	attempt_t *attempts;
	struct tevent_timer *timer;
	bool resumed;
	gc_cursor_t cursor; /* if resumed */
	uint8_t id[GC_REQUEST_ID_LEN];
	char id_hex[GC_REQUEST_ID_LEN * 2 + 1]; /* as sent and logged */
	bool ended; /* the response is complete or was aborted */
	bool keep_runs; /* don't cancel runs when attempts are closed */
	bool run_requested; /* a start request was sent to some engine */
	bool in_doubt; /* some engine may have executed a run of it */
	uint32_t last_attempt; /* number of the last token's attempt; 0: none */
	struct timespec last_token_at;
	bool paused; /* engine reads are paused: the caller reads slowly */
	struct timespec paused_at;
	int64_t paused_ms; /* of pauses that ended since the last token */
};

/* Implementation of the gc_stream_t actions; ctx is the gc_generation_t. */
extern const gc_stream_ops_t gc_generation_stream_ops;

/* Logs an event with the request id, the account and err unless it is NULL. */
void gc_generation_log(const gc_generation_t *gen, gc_log_level_t level,
		       unsigned int event, const char *message,
		       const GError *err);
/* Ends the generation with an error that does not come from gc_stream_t. */
void gc_generation_fail(gc_generation_t *gen, const GError *err);
/* Releases the admission ticket; may start queued generations. */
void gc_generation_release_admission(gc_generation_t *gen);
/* Pauses or resumes reading from the engines (back-pressure). */
void gc_generation_set_paused(gc_generation_t *gen, bool paused);
/* Milliseconds from the monotonic time since until now. */
int64_t gc_generation_ms_since(const gc_generation_t *gen,
			       struct timespec since);

#endif
