/* At-most-once claims in the key-value service; a controller. */
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
	uint64_t salt;
	GHashTable *slots; /* record name to slot_t */
	int unsettled; /* atomic: messages, open claims, open slots */
	gc_metric_t *verdicts[GC_CLAIM_REFUSED + 1];
	gc_metric_t *reads;
	gc_metric_t *writes;
};

typedef struct kv_call kv_call_t;

/* A record with open changes; a talloc child of the controller. */
typedef struct slot {
	gc_claims_t *claims;
	gc_claim_record_t *record;
	struct tevent_timer *timer;
	kv_call_t *call; /* open, or NULL */
} slot_t;

/*
 * The context of a key-value call; a talloc child of the client, which may
 * outlive the controller.
 */
struct kv_call {
	slot_t *slot; /* NULL if the controller is gone */
};

typedef enum message_kind {
	MESSAGE_BEGIN,
	MESSAGE_FINISH,
	MESSAGE_RELEASE,
} message_kind_t;

/* From any thread to the control thread; plain memory. */
typedef struct message {
	message_kind_t kind;
	gc_claims_t *claims;
	gc_claim_t claim;
	struct timespec deadline;
	gc_mailbox_t *reply;
	gc_claims_done_t done;
	void *ctx;
	int status;
	char *body;
	size_t body_len;
} message_t;

/* Back to the thread that began the claim; plain memory. */
typedef struct reply {
	gc_claim_t claim;
	gc_claims_done_t done;
	void *ctx;
	gc_claim_answer_t answer;
	char *body;
	GError *err;
} reply_t;

static int claims_destructor(gc_claims_t *claims);
static int slot_destructor(slot_t *slot);
static void create_metrics(gc_claims_t *claims);
static message_t *message_create(message_kind_t kind, gc_claims_t *claims,
				 const gc_claim_t *claim);
static void post(message_t *message);
static void on_message(void *ctx, void *data);
static void begin(slot_t *slot, message_t *message);
static void message_free(message_t *message);
static slot_t *slot_of(gc_claims_t *claims, const char *name);
static void slot_update(slot_t *slot);
static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static kv_call_t *start_call(slot_t *slot);
static int call_destructor(kv_call_t *call);
static slot_t *end_call(kv_call_t *call);
static void on_read(void *ctx, gc_claim_record_t *record);
static void on_read_done(void *ctx, gc_str_t value, uint64_t index,
			 const GError *err);
static void on_write(void *ctx, gc_claim_record_t *record, uint64_t index,
		     gc_str_t value);
static void on_write_done(void *ctx, gc_kv_put_t result, const GError *err);
static gc_claim_write_result_t write_result(gc_kv_put_t result,
					    const GError *err);
static void on_answer(void *ctx, void *claim_ctx,
		      const gc_claim_answer_t *answer);
static void on_reply(void *ctx, void *data);

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
	/* Nonces must differ even if two daemons have the same seed. */
	randombytes_buf(&claims->salt, sizeof(claims->salt));
	claims->slots = g_hash_table_new(g_str_hash, g_str_equal);
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
	gpointer slot;

	g_hash_table_iter_init(&iter, claims->slots);
	while (g_hash_table_iter_next(&iter, NULL, &slot)) {
		g_hash_table_iter_remove(&iter);
		talloc_free(slot);
	}
	g_hash_table_destroy(claims->slots);
	return 0;
}

static void create_metrics(gc_claims_t *claims)
{
	static const char *const names[] = {"granted", "known", "in_doubt",
					    "refused"};
	const char *help = "Claims of non-idempotent actions by answer";

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		claims->verdicts[i] = gc_counter("goldcrest_claims_total", help,
						 "answer", names[i]);
	help = "Calls of the key-value service for claims";
	claims->reads =
		gc_counter("goldcrest_claim_calls_total", help, "kind", "read");
	claims->writes = gc_counter("goldcrest_claim_calls_total", help, "kind",
				    "write");
}

unsigned int gc_claims_open(gc_claims_t *claims)
{
	return (unsigned int)g_atomic_int_get(&claims->unsettled);
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

static void post(message_t *message)
{
	g_atomic_int_inc(&message->claims->unsettled);
	gc_mailbox_post(message->claims->mailbox, on_message, message);
}

void gc_claims_begin(gc_claims_t *claims, gc_mailbox_t *reply,
		     const gc_claim_t *request, struct timespec deadline,
		     gc_claims_done_t done, void *ctx)
{
	message_t *message = message_create(MESSAGE_BEGIN, claims, request);

	message->reply = reply;
	message->deadline = deadline;
	message->done = done;
	message->ctx = ctx;
	post(message);
}

void gc_claims_finish(gc_claims_t *claims, const gc_claim_t *claim, int status,
		      gc_str_t body)
{
	message_t *message = message_create(MESSAGE_FINISH, claims, claim);

	message->status = status;
	message->body_len = body.len;
	message->body = g_memdup2(body.data, body.len);
	post(message);
}

void gc_claims_release(gc_claims_t *claims, const gc_claim_t *claim)
{
	post(message_create(MESSAGE_RELEASE, claims, claim));
}

/* In the control thread. */
static void on_message(void *ctx, void *data)
{
	message_t *message = data;
	gc_claims_t *claims = message->claims;
	slot_t *slot = slot_of(claims, message->claim.record);
	struct timespec now = gc_clock_now(claims->clock);
	gc_str_t body = {message->body ? message->body : "", message->body_len};

	switch (message->kind) {
	case MESSAGE_BEGIN:
		begin(slot, message);
		slot_update(slot);
		return; /* on_answer frees the message */
	case MESSAGE_FINISH:
		gc_claim_record_finish(slot->record, &message->claim,
				       message->status, body, now);
		break;
	case MESSAGE_RELEASE:
		gc_claim_record_release(slot->record, &message->claim, now);
		break;
	}
	slot_update(slot);
	message_free(message);
}

static void begin(slot_t *slot, message_t *message)
{
	gc_claims_t *claims = slot->claims;
	uint64_t nonce = claims->random->next(claims->random->ctx);

	gc_claim_set_nonce(&message->claim, nonce ^ claims->salt);
	gc_claim_record_claim(slot->record, &message->claim, message->deadline,
			      message, gc_clock_now(claims->clock));
}

static void message_free(message_t *message)
{
	g_atomic_int_add(&message->claims->unsettled, -1);
	g_free(message->body);
	g_free(message);
}

static slot_t *slot_of(gc_claims_t *claims, const char *name)
{
	const gc_claim_ops_t ops = {on_read, on_write, on_answer};
	slot_t *slot = g_hash_table_lookup(claims->slots, name);

	if (slot)
		return slot;
	slot = talloc_zero(claims, slot_t);
	slot->claims = claims;
	slot->record = gc_claim_record_create(slot, name, claims->batch_ms,
					      claims->random, &ops, slot);
	g_hash_table_insert(claims->slots,
			    (gpointer)gc_claim_record_name(slot->record), slot);
	talloc_set_destructor(slot, slot_destructor);
	g_atomic_int_inc(&claims->unsettled);
	return slot;
}

static int slot_destructor(slot_t *slot)
{
	if (slot->call)
		slot->call->slot = NULL;
	g_atomic_int_add(&slot->claims->unsettled, -1);
	return 0;
}

/* After every event: sets the timer, or frees the slot if nothing is open. */
static void slot_update(slot_t *slot)
{
	gc_claims_t *claims = slot->claims;
	struct timespec now = gc_clock_now(claims->clock);
	struct timespec at;
	int64_t us;

	TALLOC_FREE(slot->timer);
	if (gc_claim_record_idle(slot->record)) {
		g_hash_table_remove(claims->slots,
				    gc_claim_record_name(slot->record));
		talloc_free(slot);
		return;
	}
	if (!gc_claim_record_wakeup(slot->record, &at))
		return;
	us = MAX(gc_us_between(now, at), 0);
	slot->timer = tevent_add_timer(claims->ev, slot,
				       tevent_timeval_current_ofs(us / 1000000,
								  us % 1000000),
				       on_timer, slot);
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	slot_t *slot = ctx;

	slot->timer = NULL;
	gc_claim_record_tick(slot->record, gc_clock_now(slot->claims->clock));
	slot_update(slot);
}

static kv_call_t *start_call(slot_t *slot)
{
	slot->call = talloc_zero(slot->claims->kv, kv_call_t);
	slot->call->slot = slot;
	talloc_set_destructor(slot->call, call_destructor);
	return slot->call;
}

static int call_destructor(kv_call_t *call)
{
	if (call->slot)
		call->slot->call = NULL;
	return 0;
}

/* NULL if the controller is gone. */
static slot_t *end_call(kv_call_t *call)
{
	slot_t *slot = call->slot;

	talloc_free(call);
	return slot;
}

static void on_read(void *ctx, gc_claim_record_t *record)
{
	slot_t *slot = ctx;

	gc_counter_add(slot->claims->reads, 1);
	gc_kv_get(slot->claims->kv, gc_claim_record_name(record), on_read_done,
		  start_call(slot));
}

static void on_read_done(void *ctx, gc_str_t value, uint64_t index,
			 const GError *err)
{
	slot_t *slot = end_call(ctx);

	if (!slot)
		return;
	gc_claim_record_read_done(slot->record, err == NULL, value, index,
				  gc_clock_now(slot->claims->clock));
	slot_update(slot);
}

static void on_write(void *ctx, gc_claim_record_t *record, uint64_t index,
		     gc_str_t value)
{
	slot_t *slot = ctx;

	gc_counter_add(slot->claims->writes, 1);
	gc_kv_cas(slot->claims->kv, gc_claim_record_name(record), index, value,
		  on_write_done, start_call(slot));
}

static void on_write_done(void *ctx, gc_kv_put_t result, const GError *err)
{
	slot_t *slot = end_call(ctx);

	if (!slot)
		return;
	gc_claim_record_write_done(slot->record, write_result(result, err),
				   gc_clock_now(slot->claims->clock));
	slot_update(slot);
}

/* The meaning of err is described at put_result in lib/kv.c. */
static gc_claim_write_result_t write_result(gc_kv_put_t result,
					    const GError *err)
{
	switch (result) {
	case GC_KV_WRITTEN:
		return GC_CLAIM_WRITE_OK;
	case GC_KV_CONFLICT:
		if (!err)
			return GC_CLAIM_WRITE_CONFLICT;
		gc_log_error(GC_LOG_ERROR, GC_EVENT_CLAIM_WRITE_REFUSED,
			     "key-value service refuses a claim record", err);
		return err->code == GC_ERR_TOO_LARGE ? GC_CLAIM_WRITE_TOO_LARGE
						     : GC_CLAIM_WRITE_NOT_SENT;
	case GC_KV_UNKNOWN:
		break;
	}
	return err && err->code == GC_ERR_UNAVAILABLE ? GC_CLAIM_WRITE_NOT_SENT
						      : GC_CLAIM_WRITE_UNKNOWN;
}

static void on_answer(void *ctx, void *claim_ctx,
		      const gc_claim_answer_t *answer)
{
	slot_t *slot = ctx;
	message_t *message = claim_ctx;
	reply_t *reply = g_new0(reply_t, 1);

	gc_counter_add(slot->claims->verdicts[answer->verdict], 1);
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
	gc_mailbox_post(message->reply, on_reply, reply);
	message_free(message);
}

/* In the thread that began the claim. */
static void on_reply(void *ctx, void *data)
{
	reply_t *reply = data;

	reply->done(reply->ctx, &reply->claim, &reply->answer);
	g_clear_error(&reply->err);
	g_free(reply->body);
	g_free(reply);
}
