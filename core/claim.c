/* At-most-once claims: the shard record and its state machine. */
#include <string.h>

#include <jansson.h>

#include "core/claim.h"
#include "core/error.h"

/* Delay after the first failure of the service; doubles up to the last. */
#define RETRY_MIN_MS 20
#define RETRY_MAX_MS 1000
/* Delay range after a second conflict in a row; doubles up to the last. */
#define CONFLICT_MIN_MS 4
#define CONFLICT_MAX_MS 64
/* Encoded size of a new entry: texts, quotes and separators, and a status. */
#define ENTRY_BYTES 96

/* Members of an entry: [nonce, state, request, status, body]. */
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
	IO_NONE,
	IO_READ,
	IO_WRITE,
} io_state_t;

/* One wanted change of the record; a talloc child of it. */
typedef struct op {
	op_kind_t kind;
	gc_claim_t claim;
	struct timespec deadline; /* of a claim */
	void *claim_ctx;
	int status;
	char *body; /* NULL if none is stored */
	op_kind_t staged; /* what the open write does for it */
	/*
	 * The claim was in a write at this index whose answer is unknown. That
	 * write can take effect as long as the record has this index.
	 */
	bool may_land;
	uint64_t may_land_index;
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
	json_t *table; /* key to entry, as read; NULL if it must be read */
	uint64_t index; /* of table */
	uint64_t highest_index; /* ever read */
	size_t size; /* encoded, estimated */
	size_t refuse_bytes; /* new claims are refused above it */
	size_t max_bytes;
	struct timespec not_before; /* no call before this time */
	unsigned int failures; /* in a row */
	unsigned int conflicts; /* in a row */
};

static int record_destructor(gc_claim_record_t *record);
static op_t *add_op(gc_claim_record_t *record, op_kind_t kind,
		    const gc_claim_t *claim, struct timespec now);
static void remove_op(gc_claim_record_t *record, op_t *op);
static void proceed(gc_claim_record_t *record, struct timespec now);
static void expire(gc_claim_record_t *record, struct timespec now);
static bool is_expired(const op_t *op, struct timespec now);
static void refuse(gc_claim_record_t *record, op_t *op, gc_errcode_t code,
		   const char *message);
static bool can_land(const gc_claim_record_t *record, const op_t *op);
static void start_call(gc_claim_record_t *record);
static bool stage_all(gc_claim_record_t *record);
static void stage_claim(gc_claim_record_t *record, op_t *op,
			GHashTable *staged);
static void meet_entry(gc_claim_record_t *record, op_t *op, json_t *entry);
static void stage_finish(gc_claim_record_t *record, op_t *op);
static void stage_release(gc_claim_record_t *record, op_t *op);
static void set_entry(gc_claim_record_t *record, op_t *op, const char *state);
static const char *entry_text(json_t *entry, enum entry_member member);
static bool entry_is(json_t *entry, const op_t *op, const char *state);
static void drop_table(gc_claim_record_t *record);
static json_t *parse_table(gc_str_t value);
static void settle_written(gc_claim_record_t *record, struct timespec now);
static void unstage(gc_claim_record_t *record, bool may_land);
static void retry_later(gc_claim_record_t *record, struct timespec now);
static void avoid_conflict(gc_claim_record_t *record, struct timespec now);
static unsigned int doubled(unsigned int first, unsigned int times,
			    unsigned int last);
static queued_answer_t *queue_answer(gc_claim_record_t *record, const op_t *op,
				     gc_claim_verdict_t verdict);
static void grant(gc_claim_record_t *record, op_t *op, uint64_t index);
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
	record->refuse_bytes = GC_CLAIM_REFUSE_BYTES;
	record->max_bytes = GC_CLAIM_RECORD_BYTES;
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
	drop_table(record);
	return 0;
}

const char *gc_claim_record_name(const gc_claim_record_t *record)
{
	return record->name;
}

bool gc_claim_record_idle(const gc_claim_record_t *record)
{
	return record->io == IO_NONE && record->pending.length == 0 &&
	       record->answers.length == 0;
}

static op_t *add_op(gc_claim_record_t *record, op_kind_t kind,
		    const gc_claim_t *claim, struct timespec now)
{
	op_t *op = talloc_zero(record, op_t);
	struct timespec batch_end = gc_add_ms(now, record->batch_ms);

	op->kind = kind;
	op->claim = *claim;
	/* The first of a batch sets its end; a retry delay stands. */
	if (record->io == IO_NONE && record->pending.length == 0 &&
	    gc_us_between(record->not_before, batch_end) > 0)
		record->not_before = batch_end;
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
	proceed(record, now);
}

void gc_claim_record_finish(gc_claim_record_t *record, const gc_claim_t *claim,
			    int status, gc_str_t body, struct timespec now)
{
	op_t *op = add_op(record, OP_FINISH, claim, now);

	op->status = status;
	if (body.len <= GC_CLAIM_BODY_MAX &&
	    !memchr(body.data, '\0', body.len) &&
	    g_utf8_validate(body.data, (gssize)body.len, NULL))
		op->body = talloc_strndup(op, body.data, body.len);
	proceed(record, now);
}

void gc_claim_record_release(gc_claim_record_t *record, const gc_claim_t *claim,
			     struct timespec now)
{
	add_op(record, OP_RELEASE, claim, now);
	proceed(record, now);
}

void gc_claim_record_tick(gc_claim_record_t *record, struct timespec now)
{
	proceed(record, now);
}

bool gc_claim_record_wakeup(const gc_claim_record_t *record,
			    struct timespec *at)
{
	bool found = false;

	if (record->io == IO_NONE && record->pending.length > 0) {
		*at = record->not_before;
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

static void proceed(gc_claim_record_t *record, struct timespec now)
{
	expire(record, now);
	if (record->io == IO_NONE && record->pending.length > 0 &&
	    gc_us_between(record->not_before, now) >= 0)
		start_call(record);
	/* A later batch must not decide on an old state. */
	if (record->pending.length == 0)
		drop_table(record);
	send_answers(record);
}

static bool is_expired(const op_t *op, struct timespec now)
{
	return op->kind == OP_CLAIM && gc_us_between(op->deadline, now) >= 0;
}

static void expire(gc_claim_record_t *record, struct timespec now)
{
	GList *next;

	for (GList *l = record->pending.head; l; l = next) {
		op_t *op = l->data;

		next = l->next;
		if (is_expired(op, now))
			refuse(record, op, GC_ERR_TIMEOUT,
			       "no definite answer before the deadline");
	}
}

/* The claim was not granted and now never will be. */
static void refuse(gc_claim_record_t *record, op_t *op, gc_errcode_t code,
		   const char *message)
{
	queued_answer_t *queued = queue_answer(record, op, GC_CLAIM_REFUSED);

	gc_error_set(&queued->err, code, "claim", record->name, "%s", message);
	/* stage_release finds out if the record holds the claim. */
	if (op->staged == OP_CLAIM || op->may_land)
		op->kind = OP_RELEASE;
	else
		remove_op(record, op);
}

/* True if a late write may still bring the claim into the record. */
static bool can_land(const gc_claim_record_t *record, const op_t *op)
{
	return op->may_land && record->index <= op->may_land_index;
}

static void start_call(gc_claim_record_t *record)
{
	char *value;
	json_t *root;

	if (!record->table) {
		record->io = IO_READ;
		record->ops.read(record->ctx, record);
		return;
	}
	if (!stage_all(record))
		return;
	root = json_pack("{s:i, s:O}", "v", 1, "c", record->table);
	value = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	/* The table now differs from what was read. */
	drop_table(record);
	record->io = IO_WRITE;
	record->ops.write(record->ctx, record, record->index, gc_str(value));
	free(value);
}

/* True if there is something to write. */
static bool stage_all(gc_claim_record_t *record)
{
	GHashTable *staged = g_hash_table_new(g_str_hash, g_str_equal);
	bool any = false;
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
		any = any || ((op_t *)l->data)->staged != OP_NONE;
	g_hash_table_destroy(staged);
	return any;
}

static void stage_claim(gc_claim_record_t *record, op_t *op, GHashTable *staged)
{
	json_t *entry = json_object_get(record->table, op->claim.key);

	/* Two attempts at a key in one daemon: the later one sees the first. */
	if (g_hash_table_contains(staged, op->claim.key))
		return;
	if (entry &&
	    strcmp(entry_text(entry, ENTRY_STATE), STATE_RELEASED) != 0) {
		meet_entry(record, op, entry);
		return;
	}
	if (record->size + ENTRY_BYTES > record->refuse_bytes) {
		refuse(record, op, GC_ERR_TOO_LARGE,
		       "the record of this key's hour and shard is full");
		return;
	}
	record->size += ENTRY_BYTES;
	set_entry(record, op, STATE_CLAIMED);
	op->staged = OP_CLAIM;
	g_hash_table_add(staged, op->claim.key);
}

/* The key has an entry in the record: decides without a write. */
static void meet_entry(gc_claim_record_t *record, op_t *op, json_t *entry)
{
	queued_answer_t *queued;
	const char *body;

	if (entry_is(entry, op, STATE_CLAIMED)) {
		/* Only a write with an unknown answer can have left it. */
		grant(record, op, op->may_land_index);
		return;
	}
	if (json_array_size(entry) > ENTRY_REQUEST &&
	    strcmp(entry_text(entry, ENTRY_REQUEST), op->claim.request) != 0) {
		refuse(record, op, GC_ERR_CONFLICT,
		       "the key was used for another request");
		return;
	}
	if (strcmp(entry_text(entry, ENTRY_STATE), STATE_DONE) == 0) {
		queued = queue_answer(record, op, GC_CLAIM_KNOWN);
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
	json_t *entry = json_object_get(record->table, op->claim.key);
	json_t *body;
	size_t body_size;

	/* An earlier write may have stored it already. */
	if (entry && !entry_is(entry, op, STATE_CLAIMED)) {
		remove_op(record, op);
		return;
	}
	if (!entry)
		record->size += ENTRY_BYTES;
	set_entry(record, op, STATE_DONE);
	op->staged = OP_FINISH;
	entry = json_object_get(record->table, op->claim.key);
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
 * An absent claim that a late write may still bring needs a write too: it
 * moves the index, and the late write then conflicts.
 */
static void stage_release(gc_claim_record_t *record, op_t *op)
{
	json_t *entry = json_object_get(record->table, op->claim.key);

	bool own = entry_is(entry, op, STATE_CLAIMED);
	bool vacant = !entry || strcmp(entry_text(entry, ENTRY_STATE),
				       STATE_RELEASED) == 0;

	if (!own && !(vacant && can_land(record, op))) {
		remove_op(record, op);
		return;
	}
	if (!entry)
		record->size += ENTRY_BYTES;
	set_entry(record, op, STATE_RELEASED);
	op->staged = OP_RELEASE;
}

static void set_entry(gc_claim_record_t *record, op_t *op, const char *state)
{
	json_object_set_new(record->table, op->claim.key,
			    json_pack("[s, s, s]", op->claim.nonce, state,
				      op->claim.request));
}

/* "" for an entry that is absent or not understood. */
static const char *entry_text(json_t *entry, enum entry_member member)
{
	const char *text = json_string_value(json_array_get(entry, member));

	return text ? text : "";
}

/* True if the entry is the attempt's own and in this state. */
static bool entry_is(json_t *entry, const op_t *op, const char *state)
{
	return strcmp(entry_text(entry, ENTRY_NONCE), op->claim.nonce) == 0 &&
	       strcmp(entry_text(entry, ENTRY_STATE), state) == 0;
}

static void drop_table(gc_claim_record_t *record)
{
	json_decref(record->table);
	record->table = NULL;
}

static json_t *parse_table(gc_str_t value)
{
	json_t *root = json_loadb(value.data, value.len, 0, NULL);
	json_t *table = json_object_get(root, "c");

	table = json_is_object(table) ? json_incref(table) : NULL;
	json_decref(root);
	return table;
}

void gc_claim_record_read_done(gc_claim_record_t *record, bool ok,
			       gc_str_t value, uint64_t index,
			       struct timespec now)
{
	record->io = IO_NONE;
	/* A read that is older than an earlier one proves nothing. */
	if (ok && index != 0 && index < record->highest_index)
		ok = false;
	if (ok && index == 0)
		record->table = json_object();
	else if (ok)
		record->table = parse_table(value);
	if (record->table) {
		record->index = index;
		record->highest_index = MAX(record->highest_index, index);
		record->size = value.len;
		record->failures = 0;
	} else {
		retry_later(record, now);
	}
	proceed(record, now);
}

void gc_claim_record_write_done(gc_claim_record_t *record,
				gc_claim_write_t result, struct timespec now)
{
	record->io = IO_NONE;
	switch (result) {
	case GC_CLAIM_WRITTEN:
		record->failures = 0;
		record->conflicts = 0;
		settle_written(record, now);
		break;
	case GC_CLAIM_CONFLICT:
		unstage(record, false);
		avoid_conflict(record, now);
		break;
	case GC_CLAIM_UNKNOWN:
		unstage(record, true);
		retry_later(record, now);
		break;
	case GC_CLAIM_NOT_SENT:
		unstage(record, false);
		retry_later(record, now);
		break;
	case GC_CLAIM_TOO_LARGE:
		unstage(record, false);
		/* The service's limit is lower than expected. */
		record->refuse_bytes = 0;
		record->max_bytes = 0;
		retry_later(record, now);
		break;
	}
	proceed(record, now);
}

static void settle_written(gc_claim_record_t *record, struct timespec now)
{
	GList *next;

	for (GList *l = record->pending.head; l; l = next) {
		op_t *op = l->data;
		op_kind_t staged = op->staged;

		next = l->next;
		if (staged == OP_NONE)
			continue;
		/* A late answer to a paused daemon grants nothing. */
		if (is_expired(op, now))
			refuse(record, op, GC_ERR_TIMEOUT,
			       "the answer came after the deadline");
		op->staged = OP_NONE;
		if (staged == OP_CLAIM && op->kind == OP_CLAIM)
			grant(record, op, record->index);
		else if (staged == op->kind)
			remove_op(record, op);
	}
}

/* The open write is over without a known effect. */
static void unstage(gc_claim_record_t *record, bool may_land)
{
	for (GList *l = record->pending.head; l; l = l->next) {
		op_t *op = l->data;

		if (op->staged == OP_CLAIM && may_land) {
			op->may_land = true;
			op->may_land_index = record->index;
		}
		op->staged = OP_NONE;
	}
}

static unsigned int doubled(unsigned int first, unsigned int times,
			    unsigned int last)
{
	while (times-- > 0 && first < last)
		first *= 2;
	return MIN(first, last);
}

/* Waits between half and the whole of an exponential delay. */
static void retry_later(gc_claim_record_t *record, struct timespec now)
{
	unsigned int ms = doubled(RETRY_MIN_MS, record->failures, RETRY_MAX_MS);
	uint64_t random = record->random->next(record->random->ctx);

	record->failures++;
	record->not_before =
		gc_add_ms(now, ms / 2 + (int64_t)(random % (ms / 2 + 1)));
}

/* The first conflict is read at once; contenders then spread out. */
static void avoid_conflict(gc_claim_record_t *record, struct timespec now)
{
	unsigned int ms =
		doubled(CONFLICT_MIN_MS, record->conflicts, CONFLICT_MAX_MS);
	uint64_t random = record->random->next(record->random->ctx);

	record->not_before = now;
	if (record->conflicts++ > 0)
		record->not_before =
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
 * index is the one that the write replaced: the answer of a write does not
 * give the new one. It grows from write to write, as the new one does.
 */
static void grant(gc_claim_record_t *record, op_t *op, uint64_t index)
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
