/* Shared by the files of a generation; for them only. */
#ifndef GC_LIB_GENERATION_PRIVATE_H
#define GC_LIB_GENERATION_PRIVATE_H

#include "core/stream.h"
#include "lib/account_metrics.h"
#include "lib/engine_client.h"
#include "lib/generation.h"
#include "lib/log.h"
#include "lib/reply.h"

typedef struct attempt {
	struct attempt *prev, *next;
	gc_generation_t *gen;
	uint32_t number;
	gc_engine_client_t *engine;
	char name[GC_NAME_MAX];
	gc_flight_t flight;
	struct tevent_immediate *lost; /* its engine isn't in the view */
	bool may_run; /* started and not refused */
	bool timed; /* last is the start or a token of its own time */
	bool got_token;
	struct timespec last; /* start or last token */
} attempt_t;

struct gc_generation {
	gc_request_ctx_t *ex;
	gc_traffic_t *traffic;
	const gc_clock_t *clock;
	gc_generate_t *request;
	char *account;
	gc_account_metrics_t *meter;
	gc_traffic_job_t job;
	gc_admission_ticket_t *ticket;
	gc_stream_t *stream;
	gc_reply_t *reply;
	attempt_t *attempts;
	struct tevent_timer *timer;
	bool resumed;
	gc_cursor_t cursor; /* if resumed */
	uint8_t id[GC_REQUEST_ID_LEN];
	char id_hex[GC_REQUEST_ID_LEN * 2 + 1]; /* for people and engines */
	bool over; /* the answer is given or given up */
	bool keep_runs; /* runs go on at the engine; another daemon resumes */
	bool started; /* some engine was asked to start a run */
	bool in_doubt; /* some engine may have begun to work */
	uint32_t last_attempt; /* of the last token; 0: none */
	struct timespec last_token;
	bool paused; /* the caller reads slowly */
	struct timespec paused_at;
	int64_t paused_ms; /* earlier pauses since the last token */
};

/* Actions of gc_stream_t; their context is the generation. */
extern const gc_stream_ops_t gc_generation_stream_ops;

/* Logs an event with the request, the account and, unless NULL, the error. */
void gc_generation_log(const gc_generation_t *gen, gc_log_level_t level,
		       unsigned int event, const char *message,
		       const GError *err);
/* Ends the generation with an error from the host's side. */
void gc_generation_give_up(gc_generation_t *gen, const GError *err);
/* Gives the ticket back; may start other generations. */
void gc_generation_release(gc_generation_t *gen);
/* Stops and continues reading from the engines (back-pressure). */
void gc_generation_pause(gc_generation_t *gen, bool paused);
int64_t gc_generation_ms_since(const gc_generation_t *gen,
			       struct timespec since);

#endif
