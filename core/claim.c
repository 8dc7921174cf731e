/* State machine of a claim record: batches, writes, retries. */
#include <string.h>

#include <jansson.h>

#include "core/claim.h"
#include "core/error.h"

/* Exponential backoff after failures of the key-value service. */
#define RETRY_DELAY_MIN_MS 20
#define RETRY_DELAY_MAX_MS 1000
/* Exponential backoff from the second conflict in a row on. */
#define CONFLICT_DELAY_MIN_MS 4
#define CONFLICT_DELAY_MAX_MS 64
/* Encoded size of a new entry: strings, quotes, separators and a status. */
#define NEW_ENTRY_BYTES 96

/* Positions in an entry: [nonce, state, request, status, body]. */
enum entry_member {
	ENTRY_NONCE,
	ENTRY_STATE,
	ENTRY_REQUEST,
	ENTRY_STATUS,
	ENTRY_BODY,
};

#define STATE_CLAIMED  "c"
#define STATE_DONE     "d"
#define STATE_RELEASED "r"

typedef enum op_kind {
	OP_NONE,
	OP_CLAIM,
	OP_FINISH,
	OP_RELEASE,
} op_kind_t;

typedef enum io_state {
	IO_IDLE,
	IO_READ,
	IO_WRITE,
} io_state_t;

/* One pending change of the record; a talloc child of it. */
typedef struct op {
	op_kind_t kind;
	gc_claim_t claim;
	struct timespec deadline; /* of a claim */
	void *claim_ctx;
	int status;
	char *body; /* NULL: none to store */
	op_kind_t staged; /* kind in the write in flight, or OP_NONE */
	/*
	 * The claim was in a write whose result is unknown, a compare-and-swap
	 * at in_doubt_index. That write can still take effect while the record
	 * has this index.
	 */
	bool write_in_doubt;
	uint64_t in_doubt_index;
} op_t;

typedef struct queued_answer {
	void *claim_ctx;
	gc_claim_answer_t answer;
	char *body;
	GError *err;
} queued_answer_t;

struct gc_claim_record {
	const char *name;
	unsigned int batch_ms;
	const gc_random_t *random;
	gc_claim_ops_t ops;
	void *ctx;
	GQueue pending; /* op_t */
	GQueue answers; /* queued_answer_t */
	io_state_t io;
	json_t *entries; /* key to entry; NULL: the record must be read */
	uint64_t index; /* of the record as last read */
	uint64_t highest_index; /* of all reads */
	size_t size; /* encoded bytes, estimated */
	size_t full_bytes; /* no new claims above this size */
	size_t max_bytes;
	struct timespec next_call_at; /* no read or write before */
	unsigned int failures; /* in a row */
	unsigned int conflicts; /* in a row */
};

static int record_destructor(gc_claim_record_t *record);
static op_t *add_op(gc_claim_record_t *record, op_kind_t kind,
		    const gc_claim_t *claim, struct timespec now);
static void remove_op(gc_claim_record_t *record, op_t *op);
static void advance(gc_claim_record_t *record, struct timespec now);
static void refuse_expired_claims(gc_claim_record_t *record,
				  struct timespec now);
static bool claim_expired(const op_t *op, struct timespec now);
static void refuse_claim(gc_claim_record_t *record, op_t *op, gc_errcode_t code,
			 const char *message);
static bool may_take_effect_late(const gc_claim_record_t *record,
				 const op_t *op);
static void start_call(gc_claim_record_t *record);
static bool stage_all(gc_claim_record_t *record);
static void stage_claim(gc_claim_record_t *record, op_t *op,
			GHashTable *staged);
static void decide_from_entry(gc_claim_record_t *record, op_t *op,
			      json_t *entry);
static void stage_finish(gc_claim_record_t *record, op_t *op);
static void stage_release(gc_claim_record_t *record, op_t *op);
static void set_entry(gc_claim_record_t *record, op_t *op, const char *state);
static const char *entry_text(json_t *entry, enum entry_member member);
static bool entry_matches(json_t *entry, const op_t *op, const char *state);
static void discard_entries(gc_claim_record_t *record);
static json_t *parse_entries(gc_str_t value);
static void complete_written(gc_claim_record_t *record, struct timespec now);
static void unstage_all(gc_claim_record_t *record, bool write_in_doubt);
static void delay_after_failure(gc_claim_record_t *record, struct timespec now);
static void delay_after_conflict(gc_claim_record_t *record,
				 struct timespec now);
static unsigned int backoff_ms(unsigned int initial, unsigned int doublings,
			       unsigned int max);
static queued_answer_t *queue_answer(gc_claim_record_t *record, const op_t *op,
				     gc_claim_verdict_t verdict);
static void grant_claim(gc_claim_record_t *record, op_t *op, uint64_t index);
static void send_answers(gc_claim_record_t *record);

gc_claim_record_t *gc_claim_record_create(TALLOC_CTX *mem, const char *name,
					  unsigned int batch_ms,
					  const gc_random_t *random,
					  const gc_claim_ops_t *ops, void *ctx)
{
	gc_claim_record_t *record = talloc_zero(mem, gc_claim_record_t);

	record->name = talloc_strdup(record, name);
	record->batch_ms = batch_ms;
	record->random = random;
	record->ops = *ops;
	record->ctx = ctx;
	record->full_bytes = GC_CLAIM_RECORD_FULL_BYTES;
	record->max_bytes = GC_CLAIM_RECORD_MAX_BYTES;
	g_queue_init(&record->pending);
	g_queue_init(&record->answers);
	talloc_set_destructor(record, record_destructor);
	return record;
}

static int record_destructor(gc_claim_record_t *record)
{
	queued_answer_t *queued;

	while ((queued = g_queue_pop_head(&record->answers)) != NULL) {
		g_clear_error(&queued->err);
		g_free(queued->body);
		g_free(queued);
	}
	g_queue_clear(&record->pending);
	discard_entries(record);
	return 0;
}

const char *gc_claim_record_name(const gc_claim_record_t *record)
{
	return record->name;
}

bool gc_claim_record_idle(const gc_claim_record_t *record)
{
	return record->io == IO_IDLE && record->pending.length == 0 &&
	       record->answers.length == 0;
}

static op_t *add_op(gc_claim_record_t *record, op_kind_t kind,
		    const gc_claim_t *claim, struct timespec now)
{
	op_t *op = talloc_zero(record, op_t);
	struct timespec batch_end = gc_add_ms(now, record->batch_ms);

	op->kind = kind;
	op->claim = *claim;
	/*
	 * The first operation sets the end of the batch. A backoff delay that
	 * ends later is kept.
	 */
	if (record->io == IO_IDLE && record->pending.length == 0 &&
	    gc_us_between(record->next_call_at, batch_end) > 0)
		record->next_call_at = batch_end;
	g_queue_push_tail(&record->pending, op);
	return op;
}

static void remove_op(gc_claim_record_t *record, op_t *op)
{
	g_queue_remove(&record->pending, op);
	talloc_free(op);
}

void gc_claim_record_claim(gc_claim_record_t *record, const gc_claim_t *claim,
			   struct timespec deadline, void *claim_ctx,
			   struct timespec now)
{
	op_t *op = add_op(record, OP_CLAIM, claim, now);

	op->deadline = deadline;
	op->claim_ctx = claim_ctx;
	advance(record, now);
}

void gc_claim_record_finish(gc_claim_record_t *record, const gc_claim_t *claim,
			    int status, gc_str_t body, struct timespec now)
{
	op_t *op = add_op(record, OP_FINISH, claim, now);

	op->status = status;
	if (body.len <= GC_CLAIM_BODY_MAX_BYTES &&
	    !memchr(body.data, '\0', body.len) &&
	    g_utf8_validate(body.data, (gssize)body.len, NULL))
		op->body = talloc_strndup(op, body.data, body.len);
	advance(record, now);
}

void gc_claim_record_release(gc_claim_record_t *record, const gc_claim_t *claim,
			     struct timespec now)
{
	add_op(record, OP_RELEASE, claim, now);
	advance(record, now);
}

void gc_claim_record_tick(gc_claim_record_t *record, struct timespec now)
{
	advance(record, now);
}

bool gc_claim_record_wakeup(const gc_claim_record_t *record,
			    struct timespec *at)
{
	bool found = false;

	if (record->io == IO_IDLE && record->pending.length > 0) {
		*at = record->next_call_at;
		found = true;
	}
	for (GList *l = record->pending.head; l; l = l->next) {
		const op_t *op = l->data;

		if (op->kind != OP_CLAIM)
			continue;
		if (!found || gc_us_between(*at, op->deadline) < 0)
			*at = op->deadline;
		found = true;
	}
	return found;
}

static void advance(gc_claim_record_t *record, struct timespec now)
{
	refuse_expired_claims(record, now);
	if (record->io == IO_IDLE && record->pending.length > 0 &&
	    gc_us_between(record->next_call_at, now) >= 0)
		start_call(record);
	/* A later batch must not decide on stale entries. */
	if (record->pending.length == 0)
		discard_entries(record);
	send_answers(record);
}

static bool claim_expired(const op_t *op, struct timespec now)
{
	return op->kind == OP_CLAIM && gc_us_between(op->deadline, now) >= 0;
}

static void refuse_expired_claims(gc_claim_record_t *record,
				  struct timespec now)
{
	GList *next;

	for (GList *l = record->pending.head; l; l = next) {
		op_t *op = l->data;

		next = l->next;
		if (claim_expired(op, now))
			refuse_claim(record, op, GC_ERR_TIMEOUT,
				     "no definite answer before the deadline");
	}
}

/* Answers the claim as refused; it is never granted afterwards. */
static void refuse_claim(gc_claim_record_t *record, op_t *op, gc_errcode_t code,
			 const char *message)
{
	queued_answer_t *queued = queue_answer(record, op, GC_CLAIM_REFUSED);

	gc_error_set(&queued->err, code, "claim", record->name, "%s", message);
	/* If the claim is in the record, stage_release releases it. */
	if (op->staged == OP_CLAIM || op->write_in_doubt)
		op->kind = OP_RELEASE;
	else
		remove_op(record, op);
}

/* True if a write with an unknown result may still store the claim. */
static bool may_take_effect_late(const gc_claim_record_t *record,
				 const op_t *op)
{
	return op->write_in_doubt && record->index <= op->in_doubt_index;
}

static void start_call(gc_claim_record_t *record)
{
	char *value;
	json_t *root;

	if (!record->entries) {
		record->io = IO_READ;
		record->ops.read(record->ctx, record);
		return;
	}
	if (!stage_all(record))
		return;
	root = json_pack("{s:i, s:O}", "v", 1, "c", record->entries);
	value = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	/* The entries no longer match what was read. */
	discard_entries(record);
	record->io = IO_WRITE;
	record->ops.write(record->ctx, record, record->index, gc_str(value));
	free(value);
}

/* Applies the pending operations. True if there is something to write. */
static bool stage_all(gc_claim_record_t *record)
{
	GHashTable *staged = g_hash_table_new(g_str_hash, g_str_equal);
	bool any_staged = false;
	GList *next;

	for (GList *l = record->pending.head; l; l = next) {
		op_t *op = l->data;

		next = l->next;
		if (op->kind == OP_CLAIM)
			stage_claim(record, op, staged);
		else if (op->kind == OP_FINISH)
			stage_finish(record, op);
		else
			stage_release(record, op);
	}
	for (GList *l = record->pending.head; l; l = l->next)
		any_staged = any_staged || ((op_t *)l->data)->staged != OP_NONE;
	g_hash_table_destroy(staged);
	return any_staged;
}

static void stage_claim(gc_claim_record_t *record, op_t *op, GHashTable *staged)
{
	json_t *entry = json_object_get(record->entries, op->claim.key);

	/*
	 * Another attempt at the key is in this write; this one waits and then
	 * reads the entry.
	 */
	if (g_hash_table_contains(staged, op->claim.key))
		return;
	if (entry &&
	    strcmp(entry_text(entry, ENTRY_STATE), STATE_RELEASED) != 0) {
		decide_from_entry(record, op, entry);
		return;
	}
	if (record->size + NEW_ENTRY_BYTES > record->full_bytes) {
		refuse_claim(record, op, GC_ERR_TOO_LARGE,
			     "the record of this key's hour and shard is full");
		return;
	}
	record->size += NEW_ENTRY_BYTES;
	set_entry(record, op, STATE_CLAIMED);
	op->staged = OP_CLAIM;
	g_hash_table_add(staged, op->claim.key);
}

/* Decides a claim by the existing entry of its key, without a write. */
static void decide_from_entry(gc_claim_record_t *record, op_t *op,
			      json_t *entry)
{
	queued_answer_t *queued;
	const char *body;

	if (entry_matches(entry, op, STATE_CLAIMED)) {
		/* Stored by an earlier write whose result was unknown. */
		grant_claim(record, op, op->in_doubt_index);
		return;
	}
	if (json_array_size(entry) > ENTRY_REQUEST &&
	    strcmp(entry_text(entry, ENTRY_REQUEST), op->claim.request) != 0) {
		refuse_claim(record, op, GC_ERR_CONFLICT,
			     "the key was used for another request");
		return;
	}
	if (strcmp(entry_text(entry, ENTRY_STATE), STATE_DONE) == 0) {
		queued = queue_answer(record, op, GC_CLAIM_COMPLETED);
		queued->answer.status = (int)json_integer_value(
			json_array_get(entry, ENTRY_STATUS));
		body = json_string_value(json_array_get(entry, ENTRY_BODY));
		queued->answer.has_body = body != NULL;
		queued->body = g_strdup(body);
	} else {
		queue_answer(record, op, GC_CLAIM_IN_DOUBT);
	}
	remove_op(record, op);
}

static void stage_finish(gc_claim_record_t *record, op_t *op)
{
	json_t *entry = json_object_get(record->entries, op->claim.key);
	json_t *body;
	size_t body_size;

	/* Stored already, by an earlier write whose result was unknown. */
	if (entry && !entry_matches(entry, op, STATE_CLAIMED)) {
		remove_op(record, op);
		return;
	}
	if (!entry)
		record->size += NEW_ENTRY_BYTES;
	set_entry(record, op, STATE_DONE);
	op->staged = OP_FINISH;
	entry = json_object_get(record->entries, op->claim.key);
	json_array_append_new(entry, json_integer(op->status));
	if (!op->body)
		return;
	body = json_string(op->body);
	body_size = json_dumpb(body, NULL, 0, JSON_ENCODE_ANY) + 1;
	if (record->size + body_size > record->max_bytes) {
		json_decref(body);
		return;
	}
	record->size += body_size;
	json_array_append_new(entry, body);
}

/*
 * If the claim is absent but an earlier write may still store it, the release
 * is written too: that changes the index, so the earlier write conflicts.
 */
static void stage_release(gc_claim_record_t *record, op_t *op)
{
	json_t *entry = json_object_get(record->entries, op->claim.key);

	bool own_claim = entry_matches(entry, op, STATE_CLAIMED);
	bool unclaimed = !entry || strcmp(entry_text(entry, ENTRY_STATE),
					  STATE_RELEASED) == 0;

	if (!own_claim && !(unclaimed && may_take_effect_late(record, op))) {
		remove_op(record, op);
		return;
	}
	if (!entry)
		record->size += NEW_ENTRY_BYTES;
	set_entry(record, op, STATE_RELEASED);
	op->staged = OP_RELEASE;
}

static void set_entry(gc_claim_record_t *record, op_t *op, const char *state)
{
	json_object_set_new(record->entries, op->claim.key,
			    json_pack("[s, s, s]", op->claim.nonce, state,
				      op->claim.request));
}

/* "" if the entry is absent or malformed. */
static const char *entry_text(json_t *entry, enum entry_member member)
{
	const char *text = json_string_value(json_array_get(entry, member));

	return text ? text : "";
}

/* True if this attempt made the entry and it is in this state. */
static bool entry_matches(json_t *entry, const op_t *op, const char *state)
{
	return strcmp(entry_text(entry, ENTRY_NONCE), op->claim.nonce) == 0 &&
	       strcmp(entry_text(entry, ENTRY_STATE), state) == 0;
}

static void discard_entries(gc_claim_record_t *record)
{
	json_decref(record->entries);
	record->entries = NULL;
}

static json_t *parse_entries(gc_str_t value)
{
	json_t *root = json_loadb(value.data, value.len, 0, NULL);
	json_t *entries = json_object_get(root, "c");

	entries = json_is_object(entries) ? json_incref(entries) : NULL;
	json_decref(root);
	return entries;
}

void gc_claim_record_read_done(gc_claim_record_t *record, bool ok,
			       gc_str_t value, uint64_t index,
			       struct timespec now)
{
	record->io = IO_IDLE;
	/* Stale: older than an earlier read. */
	if (ok && index != 0 && index < record->highest_index)
		ok = false;
	if (ok && index == 0)
		record->entries = json_object();
	else if (ok)
		record->entries = parse_entries(value);
	if (record->entries) {
		record->index = index;
		record->highest_index = MAX(record->highest_index, index);
		record->size = value.len;
		record->failures = 0;
	} else {
		delay_after_failure(record, now);
	}
	advance(record, now);
}

void gc_claim_record_write_done(gc_claim_record_t *record,
				gc_claim_write_result_t result,
				struct timespec now)
{
	record->io = IO_IDLE;
	switch (result) {
	case GC_CLAIM_WRITE_OK:
		record->failures = 0;
		record->conflicts = 0;
		complete_written(record, now);
		break;
	case GC_CLAIM_WRITE_CONFLICT:
		unstage_all(record, false);
		delay_after_conflict(record, now);
		break;
	case GC_CLAIM_WRITE_UNKNOWN:
		unstage_all(record, true);
		delay_after_failure(record, now);
		break;
	case GC_CLAIM_WRITE_NOT_SENT:
		unstage_all(record, false);
		delay_after_failure(record, now);
		break;
	case GC_CLAIM_WRITE_TOO_LARGE:
		unstage_all(record, false);
		/*
		 * The service's limit is lower than expected: takes no more
		 * claims and stores no more bodies.
		 */
		record->full_bytes = 0;
		record->max_bytes = 0;
		delay_after_failure(record, now);
		break;
	}
	advance(record, now);
}

static void complete_written(gc_claim_record_t *record, struct timespec now)
{
	GList *next;

	for (GList *l = record->pending.head; l; l = next) {
		op_t *op = l->data;
		op_kind_t staged = op->staged;

		next = l->next;
		if (staged == OP_NONE)
			continue;
		/* A paused daemon may see the result after the deadline. */
		if (claim_expired(op, now))
			refuse_claim(record, op, GC_ERR_TIMEOUT,
				     "the answer came after the deadline");
		op->staged = OP_NONE;
		if (staged == OP_CLAIM && op->kind == OP_CLAIM)
			grant_claim(record, op, record->index);
		else if (staged == op->kind)
			remove_op(record, op);
	}
}

/* The write in flight failed or has an unknown result. */
static void unstage_all(gc_claim_record_t *record, bool write_in_doubt)
{
	for (GList *l = record->pending.head; l; l = l->next) {
		op_t *op = l->data;

		if (op->staged == OP_CLAIM && write_in_doubt) {
			op->write_in_doubt = true;
			op->in_doubt_index = record->index;
		}
		op->staged = OP_NONE;
	}
}

static unsigned int backoff_ms(unsigned int initial, unsigned int doublings,
			       unsigned int max)
{
	while (doublings-- > 0 && initial < max)
		initial *= 2;
	return MIN(initial, max);
}

/* Exponential backoff with jitter: from half to the whole delay. */
static void delay_after_failure(gc_claim_record_t *record, struct timespec now)
{
	unsigned int ms = backoff_ms(RETRY_DELAY_MIN_MS, record->failures,
				     RETRY_DELAY_MAX_MS);
	uint64_t random = record->random->next(record->random->ctx);

	record->failures++;
	record->next_call_at =
		gc_add_ms(now, ms / 2 + (int64_t)(random % (ms / 2 + 1)));
}

/* Reads again at once after a first conflict, then after a random delay. */
static void delay_after_conflict(gc_claim_record_t *record, struct timespec now)
{
	unsigned int ms = backoff_ms(CONFLICT_DELAY_MIN_MS, record->conflicts,
				     CONFLICT_DELAY_MAX_MS);
	uint64_t random = record->random->next(record->random->ctx);

	record->next_call_at = now;
	if (record->conflicts++ > 0)
		record->next_call_at =
			gc_add_ms(now, (int64_t)(random % (ms + 1)));
}

static queued_answer_t *queue_answer(gc_claim_record_t *record, const op_t *op,
				     gc_claim_verdict_t verdict)
{
	queued_answer_t *queued = g_new0(queued_answer_t, 1);

	queued->claim_ctx = op->claim_ctx;
	queued->answer.verdict = verdict;
	g_queue_push_tail(&record->answers, queued);
	return queued;
}

/*
 * index is the one that the write replaced, as a write's result does not give
 * the new one. It grows with every write, so it serves as a fencing token.
 */
static void grant_claim(gc_claim_record_t *record, op_t *op, uint64_t index)
{
	queued_answer_t *queued = queue_answer(record, op, GC_CLAIM_GRANTED);

	queued->answer.fence = index + 1;
	remove_op(record, op);
}

static void send_answers(gc_claim_record_t *record)
{
	queued_answer_t *queued;

	while ((queued = g_queue_pop_head(&record->answers)) != NULL) {
		queued->answer.body = gc_str(queued->body);
		queued->answer.err = queued->err;
		record->ops.answer(record->ctx, queued->claim_ctx,
				   &queued->answer);
		g_clear_error(&queued->err);
		g_free(queued->body);
		g_free(queued);
	}
}
