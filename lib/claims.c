/*
 * At-most-once claims in the key-value service. Runs the state machines of
 * core/claim.h in the control thread and passes messages between it and the
 * threads of the callers.
 */
#include <string.h>

#include <sodium.h>

#include "core/error.h"
#include "lib/claims.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"

struct gc_claims {
	struct tevent_context *ev;
	gc_kv_t *kv;
	gc_mailbox_t *mailbox;
	const gc_clock_t *clock;
	const gc_random_t *random;
	unsigned int batch_ms;
	uint64_t nonce_salt;
	GHashTable *drivers; /* record name -> record_driver_t */
	/* Atomic: queued messages, unanswered claims, existing drivers. */
	int n_open;
	gc_metric_t *verdict_counters[GC_CLAIM_REFUSED + 1];
	gc_metric_t *read_counter;
	gc_metric_t *write_counter;
};

typedef struct kv_call kv_call_t;

/*
 * Drives the state machine of one record: starts its timer and key-value
 * calls. Exists while the record has unanswered claims or changes to write. A
 * talloc child of gc_claims_t.
 */
typedef struct record_driver {
	gc_claims_t *claims;
	gc_claim_record_t *record;
	struct tevent_timer *timer;
	kv_call_t *call; /* in flight, or NULL */
} record_driver_t;

/*
 * The context of a key-value call in flight. A talloc child of gc_kv_t, which
 * may outlive gc_claims_t.
 */
struct kv_call {
	record_driver_t *driver; /* NULL if it was freed */
};

typedef enum message_kind {
	MESSAGE_BEGIN,
	MESSAGE_FINISH,
	MESSAGE_RELEASE,
} message_kind_t;

/* Sent from any thread to the control thread; allocated with g_new0. */
typedef struct message {
	message_kind_t kind;
	gc_claims_t *claims;
	gc_claim_t claim;
	struct timespec deadline;
	gc_mailbox_t *reply_mailbox;
	gc_claims_done_t done;
	void *ctx;
	int status;
	char *body;
	size_t body_len;
} message_t;

/* Sent back to the thread that began the claim; allocated with g_new0. */
typedef struct reply {
	gc_claim_t claim;
	gc_claims_done_t done;
	void *ctx;
	gc_claim_answer_t answer;
	char *body;
	GError *err;
} reply_t;

static int claims_destructor(gc_claims_t *claims);
static int driver_destructor(record_driver_t *driver);
static void create_metrics(gc_claims_t *claims);
static message_t *message_create(message_kind_t kind, gc_claims_t *claims,
				 const gc_claim_t *claim);
static void post_message(message_t *message);
static void handle_message(void *ctx, void *data);
static void begin_claim(record_driver_t *driver, message_t *message);
static void message_free(message_t *message);
static record_driver_t *get_driver(gc_claims_t *claims, const char *name);
static void update_driver(record_driver_t *driver);
static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static kv_call_t *start_kv_call(record_driver_t *driver);
static int kv_call_destructor(kv_call_t *call);
static record_driver_t *end_kv_call(kv_call_t *call);
static void read_record(void *ctx, gc_claim_record_t *record);
static void on_read_done(void *ctx, gc_str_t value, uint64_t index,
			 const GError *err);
static void write_record(void *ctx, gc_claim_record_t *record, uint64_t index,
			 gc_str_t value);
static void on_write_done(void *ctx, gc_kv_write_result_t result,
			  const GError *err);
static gc_claim_write_result_t convert_write_result(gc_kv_write_result_t result,
						    const GError *err);
static void post_reply(void *ctx, void *claim_ctx,
		       const gc_claim_answer_t *answer);
static void deliver_reply(void *ctx, void *data);

gc_claims_t *gc_claims_create(TALLOC_CTX *mem, struct tevent_context *ev,
			      gc_kv_t *kv, gc_mailbox_t *control_mailbox,
			      const gc_clock_t *clock,
			      const gc_random_t *random, unsigned int batch_ms)
{
	gc_claims_t *claims = talloc_zero(mem, gc_claims_t);

	claims->ev = ev;
	claims->kv = kv;
	claims->mailbox = control_mailbox;
	claims->clock = clock;
	claims->random = random;
	claims->batch_ms = batch_ms;
	/* Nonces must differ even if two daemons have the same random seed. */
	randombytes_buf(&claims->nonce_salt, sizeof(claims->nonce_salt));
	claims->drivers = g_hash_table_new(g_str_hash, g_str_equal);
	create_metrics(claims);
	talloc_set_destructor(claims, claims_destructor);
	return claims;
}

void gc_claims_destroy(gc_claims_t *claims)
{
	talloc_free(claims);
}

static int claims_destructor(gc_claims_t *claims)
{
	GHashTableIter iter;
	gpointer driver;

	g_hash_table_iter_init(&iter, claims->drivers);
	while (g_hash_table_iter_next(&iter, NULL, &driver)) {
		g_hash_table_iter_remove(&iter);
		talloc_free(driver);
	}
	g_hash_table_destroy(claims->drivers);
	return 0;
}

static void create_metrics(gc_claims_t *claims)
{
	static const char *const names[] = {"granted", "known", "in_doubt",
					    "refused"};
	const char *help = "Claims of non-idempotent actions by answer";

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		claims->verdict_counters[i] = gc_counter(
			"goldcrest_claims_total", help, "answer", names[i]);
	help = "Calls of the key-value service for claims";
	claims->read_counter =
		gc_counter("goldcrest_claim_calls_total", help, "kind", "read");
	claims->write_counter = gc_counter("goldcrest_claim_calls_total", help,
					   "kind", "write");
}

unsigned int gc_claims_open_count(gc_claims_t *claims)
{
	return (unsigned int)g_atomic_int_get(&claims->n_open);
}

static message_t *message_create(message_kind_t kind, gc_claims_t *claims,
				 const gc_claim_t *claim)
{
	message_t *message = g_new0(message_t, 1);

	message->kind = kind;
	message->claims = claims;
	message->claim = *claim;
	return message;
}

static void post_message(message_t *message)
{
	g_atomic_int_inc(&message->claims->n_open);
	gc_mailbox_post(message->claims->mailbox, handle_message, message);
}

void gc_claims_begin(gc_claims_t *claims, gc_mailbox_t *reply_mailbox,
		     const gc_claim_t *claim, struct timespec deadline,
		     gc_claims_done_t done, void *ctx)
{
	message_t *message = message_create(MESSAGE_BEGIN, claims, claim);

	message->reply_mailbox = reply_mailbox;
	message->deadline = deadline;
	message->done = done;
	message->ctx = ctx;
	post_message(message);
}

void gc_claims_finish(gc_claims_t *claims, const gc_claim_t *claim, int status,
		      gc_str_t body)
{
	message_t *message = message_create(MESSAGE_FINISH, claims, claim);

	message->status = status;
	message->body_len = body.len;
	message->body = g_memdup2(body.data, body.len);
	post_message(message);
}

void gc_claims_release(gc_claims_t *claims, const gc_claim_t *claim)
{
	post_message(message_create(MESSAGE_RELEASE, claims, claim));
}

/* Runs in the control thread. */
static void handle_message(void *ctx, void *data)
{
	message_t *message = data;
	gc_claims_t *claims = message->claims;
	record_driver_t *driver = get_driver(claims, message->claim.record);
	struct timespec now = gc_clock_now(claims->clock);
	gc_str_t body = {message->body ? message->body : "", message->body_len};

	switch (message->kind) {
	case MESSAGE_BEGIN:
		begin_claim(driver, message);
		update_driver(driver);
		return; /* post_reply frees the message */
	case MESSAGE_FINISH:
		gc_claim_record_finish(driver->record, &message->claim,
				       message->status, body, now);
		break;
	case MESSAGE_RELEASE:
		gc_claim_record_release(driver->record, &message->claim, now);
		break;
	}
	update_driver(driver);
	message_free(message);
}

static void begin_claim(record_driver_t *driver, message_t *message)
{
	gc_claims_t *claims = driver->claims;
	uint64_t nonce = claims->random->next(claims->random->ctx);

	gc_claim_set_nonce(&message->claim, nonce ^ claims->nonce_salt);
	gc_claim_record_claim(driver->record, &message->claim,
			      message->deadline, message,
			      gc_clock_now(claims->clock));
}

static void message_free(message_t *message)
{
	g_atomic_int_add(&message->claims->n_open, -1);
	g_free(message->body);
	g_free(message);
}

/* Creates the driver if there is none. */
static record_driver_t *get_driver(gc_claims_t *claims, const char *name)
{
	const gc_claim_ops_t ops = {read_record, write_record, post_reply};
	record_driver_t *driver = g_hash_table_lookup(claims->drivers, name);

	if (driver)
		return driver;
	driver = talloc_zero(claims, record_driver_t);
	driver->claims = claims;
	driver->record = gc_claim_record_create(driver, name, claims->batch_ms,
						claims->random, &ops, driver);
	g_hash_table_insert(claims->drivers,
			    (gpointer)gc_claim_record_name(driver->record),
			    driver);
	talloc_set_destructor(driver, driver_destructor);
	g_atomic_int_inc(&claims->n_open);
	return driver;
}

static int driver_destructor(record_driver_t *driver)
{
	if (driver->call)
		driver->call->driver = NULL;
	g_atomic_int_add(&driver->claims->n_open, -1);
	return 0;
}

/*
 * Called after each event. Sets the timer for the record's next wakeup, or
 * frees the driver if the record is idle.
 */
static void update_driver(record_driver_t *driver)
{
	gc_claims_t *claims = driver->claims;
	struct timespec now = gc_clock_now(claims->clock);
	struct timespec at;
	int64_t us;

	TALLOC_FREE(driver->timer);
	if (gc_claim_record_idle(driver->record)) {
		g_hash_table_remove(claims->drivers,
				    gc_claim_record_name(driver->record));
		talloc_free(driver);
		return;
	}
	if (!gc_claim_record_wakeup(driver->record, &at))
		return;
	us = MAX(gc_us_between(now, at), 0);
	driver->timer = tevent_add_timer(
		claims->ev, driver,
		tevent_timeval_current_ofs(us / 1000000, us % 1000000),
		on_timer, driver);
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	record_driver_t *driver = ctx;

	driver->timer = NULL;
	gc_claim_record_tick(driver->record,
			     gc_clock_now(driver->claims->clock));
	update_driver(driver);
}

static kv_call_t *start_kv_call(record_driver_t *driver)
{
	driver->call = talloc_zero(driver->claims->kv, kv_call_t);
	driver->call->driver = driver;
	talloc_set_destructor(driver->call, kv_call_destructor);
	return driver->call;
}

static int kv_call_destructor(kv_call_t *call)
{
	if (call->driver)
		call->driver->call = NULL;
	return 0;
}

/* Frees the call. NULL if its driver was freed. */
static record_driver_t *end_kv_call(kv_call_t *call)
{
	record_driver_t *driver = call->driver;

	talloc_free(call);
	return driver;
}

static void read_record(void *ctx, gc_claim_record_t *record)
{
	record_driver_t *driver = ctx;

	gc_counter_add(driver->claims->read_counter, 1);
	gc_kv_get(driver->claims->kv, gc_claim_record_name(record),
		  on_read_done, start_kv_call(driver));
}

static void on_read_done(void *ctx, gc_str_t value, uint64_t index,
			 const GError *err)
{
	record_driver_t *driver = end_kv_call(ctx);

	if (!driver)
		return;
	gc_claim_record_read_done(driver->record, err == NULL, value, index,
				  gc_clock_now(driver->claims->clock));
	update_driver(driver);
}

static void write_record(void *ctx, gc_claim_record_t *record, uint64_t index,
			 gc_str_t value)
{
	record_driver_t *driver = ctx;

	gc_counter_add(driver->claims->write_counter, 1);
	gc_kv_cas(driver->claims->kv, gc_claim_record_name(record), index,
		  value, on_write_done, start_kv_call(driver));
}

static void on_write_done(void *ctx, gc_kv_write_result_t result,
			  const GError *err)
{
	record_driver_t *driver = end_kv_call(ctx);

	if (!driver)
		return;
	gc_claim_record_write_done(driver->record,
				   convert_write_result(result, err),
				   gc_clock_now(driver->claims->clock));
	update_driver(driver);
}

/* The meaning of err is described at classify_write_response in lib/kv.c. */
static gc_claim_write_result_t convert_write_result(gc_kv_write_result_t result,
						    const GError *err)
{
	switch (result) {
	case GC_KV_WRITTEN:
		return GC_CLAIM_WRITE_OK;
	case GC_KV_CONFLICT:
		if (!err)
			return GC_CLAIM_WRITE_CONFLICT;
		gc_log_error(GC_LOG_ERROR, GC_EVENT_CLAIM_WRITE_REFUSED,
			     "key-value service rejected the write of a claim "
			     "record",
			     err);
		return err->code == GC_ERR_TOO_LARGE ? GC_CLAIM_WRITE_TOO_LARGE
						     : GC_CLAIM_WRITE_NOT_SENT;
	case GC_KV_UNKNOWN:
		break;
	}
	return err && err->code == GC_ERR_UNAVAILABLE ? GC_CLAIM_WRITE_NOT_SENT
						      : GC_CLAIM_WRITE_UNKNOWN;
}

static void post_reply(void *ctx, void *claim_ctx,
		       const gc_claim_answer_t *answer)
{
	record_driver_t *driver = ctx;
	message_t *message = claim_ctx;
	reply_t *reply = g_new0(reply_t, 1);

	gc_counter_add(driver->claims->verdict_counters[answer->verdict], 1);
	if (answer->err && answer->err->code == GC_ERR_TOO_LARGE)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_CLAIM_RECORD_FULL,
			     "claim record is full", answer->err);
	reply->claim = message->claim;
	reply->done = message->done;
	reply->ctx = message->ctx;
	reply->answer = *answer;
	reply->body = g_strndup(answer->body.data, answer->body.len);
	reply->answer.body.data = reply->body;
	if (answer->err)
		reply->err = g_error_copy(answer->err);
	reply->answer.err = reply->err;
	gc_mailbox_post(message->reply_mailbox, deliver_reply, reply);
	message_free(message);
}

/* Runs in the thread that began the claim. */
static void deliver_reply(void *ctx, void *data)
{
	reply_t *reply = data;

	reply->done(reply->ctx, &reply->claim, &reply->answer);
	g_clear_error(&reply->err);
	g_free(reply->body);
	g_free(reply);
}
