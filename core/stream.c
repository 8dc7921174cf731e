/*
 * Decisions of one generation: attempts on engines, resume, delivery.
 *
 * At most two attempts are live: the main one and, while the latency policy
 * suspects it, an extra one elsewhere. A started attempt has exactly the
 * tokens held as its prefix. An attached one is read from offset 0 and
 * compared with the tokens held, because a restarted engine may use a run id
 * again. The first attempt to yield a new token ends the other, so all tokens
 * held come from one lineage.
 */
#include <string.h>

#include "core/error.h"
#include "core/stream.h"

/* Attaches to the same run after a cut, without a token between them. */
#define REATTACH_MAX 1
/* Tries to reach the run of a cursor when nobody else holds the tokens. */
#define CHECK_TRIES_MAX	     4
#define CHECK_RETRY_DELAY_MS 100 /* doubles with each try */
/* Delay between two tries to pick an engine; doubles up to the maximum. */
#define PICK_DELAY_MIN_MS 20
#define PICK_DOUBLINGS	  5
#define PICK_DELAY_MAX_MS 400
/* Longest wait for an engine when the request has no deadline. */
#define PICK_WAIT_MAX_MS 10000
/* A timer that is later than this was delayed by a pause of the process. */
#define PAUSE_MS    250
#define RUN_DIFFERS "the run differs from the delivered tokens"
/* The reason of a response that has all tokens but lost its end event. */
#define REASON_LENGTH "length"

typedef enum attempt_state {
	ATTEMPT_UNUSED,
	ATTEMPT_STARTING, /* not yet accepted by the engine */
	ATTEMPT_STREAMING,
} attempt_state_t;

typedef struct attempt {
	attempt_state_t state;
	uint32_t number;
	char engine[GC_NAME_MAX];
	char run[GC_RUN_MAX]; /* "" until known */
	uint64_t from; /* first offset asked for */
	uint64_t next; /* offset that must come next */
	bool attached; /* by attach, not by start */
	bool yielded; /* this run yielded a token */
	bool reported; /* as yielding, since the last suspicion */
	bool probing; /* attached again because of its silence */
	bool suspected; /* silent; an extra attempt is due */
	bool last_wait; /* silent and nothing else to try */
	uint32_t reattached; /* times, since its last token */
	struct timespec silent_since;
} attempt_t;

struct gc_stream {
	gc_stream_conf_t conf;
	const gc_stream_ops_t *ops;
	void *ctx;
	bool over;
	bool begun; /* some attempt was made */

	attempt_t main;
	attempt_t extra;
	uint32_t last_number;
	uint32_t n_started;

	/* Tokens held: bytes of all, and the end of each. */
	char *bytes;
	uint64_t *ends;
	uint64_t n_tokens;
	uint64_t hash;

	/* Until the run of the cursor is checked. */
	bool checking;
	gc_cursor_t cursor;
	gc_str_t *prefix; /* cursor.offset tokens, if has_prefix */
	bool has_prefix; /* the caller's tokens match the cursor */
	uint32_t check_tries;

	gc_str_t *failed; /* engines not to use again */
	size_t n_failed;
	char *last_error;
	char last_peer[GC_NAME_MAX];

	bool waiting; /* for retry_at: start or, while checking, attach */
	struct timespec retry_at;
	struct timespec waiting_since;
	uint32_t n_waits; /* since the last token */
	bool waited; /* this pick comes after a wait */

	bool armed;
	struct timespec armed_at;
};

static bool is_live(const attempt_t *a);
static attempt_t *find(gc_stream_t *s, uint32_t number);
static attempt_t *other_of(gc_stream_t *s, const attempt_t *a);
static struct timespec now_of(const gc_stream_t *s);
static bool has_passed(struct timespec now, struct timespec at);
static bool has_deadline(const gc_stream_t *s);
static bool past_deadline(const gc_stream_t *s);
static bool is_whole(const gc_stream_t *s);
static void hold_token(gc_stream_t *s, gc_str_t token);
static void drop_tokens(gc_stream_t *s);
static bool prefix_matches(const gc_cursor_t *cursor, const gc_str_t *prefix,
			   size_t n);
static void keep_prefix(gc_stream_t *s, const gc_str_t *prefix, size_t n);
static void use_prefix(gc_stream_t *s);
static void stop_attempt(gc_stream_t *s, attempt_t *a, bool end_run);
static void stop_all(gc_stream_t *s);
static void finish(gc_stream_t *s, const char *reason);
static void fail(gc_stream_t *s, gc_errcode_t code, const char *step,
		 const char *what);
static void fail_at_deadline(gc_stream_t *s);
static bool check_caller(gc_stream_t *s);
static void note_error(gc_stream_t *s, const char *engine, const char *what);
static void avoid_engine(gc_stream_t *s, const char *engine);
static bool pick_engine(gc_stream_t *s, char engine[GC_NAME_MAX]);
static void wait_until(gc_stream_t *s, int64_t delay_ms);
static void wait_to_pick(gc_stream_t *s);
static void stop_waiting(gc_stream_t *s);
static void open_attempt(gc_stream_t *s, attempt_t *a, uint64_t from);
static void attach_run(gc_stream_t *s, const attempt_t *run);
static void start_run(gc_stream_t *s, const char *engine);
static void wait_for_last(gc_stream_t *s);
static void start_elsewhere(gc_stream_t *s);
static void after_loss(gc_stream_t *s);
static void run_is_lost(gc_stream_t *s);
static void attach_to_check(gc_stream_t *s);
static void check_again(gc_stream_t *s);
static void check_failed(gc_stream_t *s, attempt_t *a);
static void check_token(gc_stream_t *s, attempt_t *a, gc_str_t token);
static void report(gc_stream_t *s, const char *engine,
		   gc_engine_verdict_t verdict);
static void break_protocol(gc_stream_t *s, attempt_t *a, const char *what);
static attempt_t *win(gc_stream_t *s, attempt_t *a);
static void deliver(gc_stream_t *s, attempt_t *a, gc_str_t token);
static void run_accepted(gc_stream_t *s, attempt_t *a, const char *run,
			 uint64_t from);
static void take_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
		       gc_str_t token);
static void take_end(gc_stream_t *s, attempt_t *a, const char *reason,
		     uint64_t tokens);
static void compare_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			  gc_str_t token);
static void leave_run(gc_stream_t *s, attempt_t *a);
static bool is_cut(const GError *err);
static void take_broken(gc_stream_t *s, attempt_t *a, const GError *err);
static void probe(gc_stream_t *s, attempt_t *a);
static void give_up_waiting(gc_stream_t *s, attempt_t *a);
static void suspect(gc_stream_t *s, attempt_t *a);
static bool silence_ends(const gc_stream_t *s, const attempt_t *a,
			 struct timespec *at);
static void check_silence(gc_stream_t *s, attempt_t *a, uint32_t number);
static void start_after_wait(gc_stream_t *s);
static void retry(gc_stream_t *s);
static void earliest(struct timespec *next, bool *has_next, struct timespec at);
static void arm(gc_stream_t *s);
static void forget_silence(gc_stream_t *s);

static bool is_live(const attempt_t *a)
{
	return a->state != ATTEMPT_UNUSED;
}

static attempt_t *find(gc_stream_t *s, uint32_t number)
{
	if (is_live(&s->main) && s->main.number == number)
		return &s->main;
	if (is_live(&s->extra) && s->extra.number == number)
		return &s->extra;
	return NULL;
}

static attempt_t *other_of(gc_stream_t *s, const attempt_t *a)
{
	attempt_t *other = a == &s->main ? &s->extra : &s->main;

	return is_live(other) ? other : NULL;
}

static struct timespec now_of(const gc_stream_t *s)
{
	return gc_clock_now(s->conf.clock);
}

static bool has_passed(struct timespec now, struct timespec at)
{
	return gc_us_between(now, at) <= 0;
}

static bool has_deadline(const gc_stream_t *s)
{
	return s->conf.deadline.tv_sec != 0 || s->conf.deadline.tv_nsec != 0;
}

static bool past_deadline(const gc_stream_t *s)
{
	return has_deadline(s) && has_passed(now_of(s), s->conf.deadline);
}

/* All tokens are delivered; only the end event may be missing. */
static bool is_whole(const gc_stream_t *s)
{
	return !s->checking && s->conf.max_tokens > 0 &&
	       s->n_tokens >= s->conf.max_tokens;
}

/* Tokens held. */

static void hold_token(gc_stream_t *s, gc_str_t token)
{
	uint64_t at = s->n_tokens > 0 ? s->ends[s->n_tokens - 1] : 0;
	uint64_t n_max = talloc_array_length(s->ends);
	uint64_t max = talloc_array_length(s->bytes);

	if (s->n_tokens == n_max)
		s->ends = talloc_realloc(s, s->ends, uint64_t, n_max * 2 + 64);
	if (at + token.len > max)
		s->bytes = talloc_realloc(s, s->bytes, char,
					  (at + token.len) * 2 + 256);
	if (token.len > 0)
		memcpy(s->bytes + at, token.data, token.len);
	s->ends[s->n_tokens++] = at + token.len;
	s->hash = gc_chain_hash(s->hash, token);
}

static void drop_tokens(gc_stream_t *s)
{
	s->n_tokens = 0;
	s->hash = 0;
}

static bool prefix_matches(const gc_cursor_t *cursor, const gc_str_t *prefix,
			   size_t n)
{
	uint64_t hash = 0;

	for (size_t i = 0; i < n; i++)
		hash = gc_chain_hash(hash, prefix[i]);
	return n == cursor->offset && hash == cursor->hash;
}

static void keep_prefix(gc_stream_t *s, const gc_str_t *prefix, size_t n)
{
	s->prefix = talloc_array(s, gc_str_t, n);
	for (size_t i = 0; i < n; i++)
		s->prefix[i] = gc_str_dup(s->prefix, prefix[i]);
	s->has_prefix = true;
}

static void use_prefix(gc_stream_t *s)
{
	drop_tokens(s);
	for (uint64_t i = 0; i < s->cursor.offset; i++)
		hold_token(s, s->prefix[i]);
	s->checking = false;
}

/* The end of the generation. */

static void stop_attempt(gc_stream_t *s, attempt_t *a, bool end_run)
{
	uint32_t number = a->number;

	if (!is_live(a))
		return;
	memset(a, 0, sizeof(*a));
	s->ops->cancel(s->ctx, number, end_run);
}

static void stop_all(gc_stream_t *s)
{
	s->over = true;
	s->waiting = false;
	stop_attempt(s, &s->main, true);
	stop_attempt(s, &s->extra, true);
}

static void finish(gc_stream_t *s, const char *reason)
{
	if (s->over)
		return;
	stop_all(s);
	s->ops->set_timer(s->ctx, NULL);
	s->ops->finish(s->ctx, reason);
}

static void fail(gc_stream_t *s, gc_errcode_t code, const char *step,
		 const char *what)
{
	GError *err = NULL;

	if (s->over)
		return;
	gc_error_set(&err, code, step, s->last_peer[0] ? s->last_peer : NULL,
		     "%s after %" G_GUINT64_FORMAT " tokens%s%s", what,
		     s->n_tokens, s->last_error ? "; last error: " : "",
		     s->last_error ? s->last_error : "");
	stop_all(s);
	s->ops->set_timer(s->ctx, NULL);
	s->ops->fail(s->ctx, err);
	g_error_free(err);
}

static void fail_at_deadline(gc_stream_t *s)
{
	if (s->waiting && !s->checking)
		fail(s, GC_ERR_UNAVAILABLE, "pick",
		     "no engine available until the deadline");
	else
		fail(s, GC_ERR_TIMEOUT, "deadline", "deadline passed");
}

/* False if the caller has hung up, which ends the generation. */
static bool check_caller(gc_stream_t *s)
{
	if (s->over)
		return false;
	if (s->ops->caller_connected(s->ctx))
		return true;
	stop_all(s);
	return false;
}

/* New attempts. */

static void note_error(gc_stream_t *s, const char *engine, const char *what)
{
	talloc_free(s->last_error);
	s->last_error = talloc_strdup(s, what);
	g_strlcpy(s->last_peer, engine, sizeof(s->last_peer));
}

static void avoid_engine(gc_stream_t *s, const char *engine)
{
	for (size_t i = 0; i < s->n_failed; i++)
		if (gc_str_eq(s->failed[i], gc_str(engine)))
			return;
	s->failed = talloc_realloc(s, s->failed, gc_str_t, s->n_failed + 1);
	s->failed[s->n_failed++] = gc_str_dup(s, gc_str(engine));
}

/*
 * The first pick avoids every engine that failed this generation; after a
 * wait, one that may have recovered is better than none.
 */
static bool pick_engine(gc_stream_t *s, char engine[GC_NAME_MAX])
{
	gc_str_t *avoid = talloc_array(s, gc_str_t, s->n_failed + 2);
	size_t n_live = 0;
	size_t n;
	bool found;

	if (is_live(&s->main))
		avoid[n_live++] = gc_str(s->main.engine);
	if (is_live(&s->extra))
		avoid[n_live++] = gc_str(s->extra.engine);
	n = n_live;
	for (size_t i = 0; i < s->n_failed; i++)
		avoid[n++] = s->failed[i];
	found = s->ops->pick(s->ctx, avoid, n, engine);
	if (!found && s->waited && n > n_live)
		found = s->ops->pick(s->ctx, avoid, n_live, engine);
	talloc_free(avoid);
	return found;
}

static void wait_until(gc_stream_t *s, int64_t delay_ms)
{
	struct timespec now = now_of(s);

	if (!s->waiting)
		s->waiting_since = now;
	s->waiting = true;
	s->retry_at = gc_add_ms(now, delay_ms);
}

static void wait_to_pick(gc_stream_t *s)
{
	int64_t delay_ms = PICK_DELAY_MAX_MS;

	if (s->waiting && !has_deadline(s) &&
	    gc_ms_between(s->waiting_since, now_of(s)) >= PICK_WAIT_MAX_MS) {
		fail(s, GC_ERR_UNAVAILABLE, "pick", "no engine available");
		return;
	}
	if (s->n_waits < PICK_DOUBLINGS)
		delay_ms = (int64_t)PICK_DELAY_MIN_MS << s->n_waits;
	s->n_waits++;
	wait_until(s, delay_ms);
}

static void stop_waiting(gc_stream_t *s)
{
	s->waiting = false;
	s->n_waits = 0;
}

static void open_attempt(gc_stream_t *s, attempt_t *a, uint64_t from)
{
	a->state = ATTEMPT_STARTING;
	a->number = ++s->last_number;
	a->from = from;
	a->next = from;
	a->suspected = false;
	a->last_wait = false;
	a->reported = false;
	a->silent_since = now_of(s);
}

/* Attaches to the run that *run names, as the main attempt. */
static void attach_run(gc_stream_t *s, const attempt_t *run)
{
	attempt_t a = *run;

	open_attempt(s, &a, 0);
	a.attached = true;
	s->main = a;
	s->ops->attach(s->ctx, a.number, a.engine, a.run, 0);
}

static void start_run(gc_stream_t *s, const char *engine)
{
	attempt_t a = {0};

	g_strlcpy(a.engine, engine, sizeof(a.engine));
	open_attempt(s, &a, s->n_tokens);
	s->n_started++;
	if (is_live(&s->main))
		s->extra = a;
	else
		s->main = a;
	s->ops->start(s->ctx, a.number, a.engine, a.from);
}

/* What is left when no further run may be started. */
static void wait_for_last(gc_stream_t *s)
{
	attempt_t *a = is_live(&s->extra) ? &s->extra : &s->main;

	stop_waiting(s);
	if (!is_live(a)) {
		fail(s, GC_ERR_UNAVAILABLE, "attempt", "all attempts failed");
		return;
	}
	a->last_wait = true;
	a->silent_since = now_of(s);
}

static void start_elsewhere(gc_stream_t *s)
{
	char engine[GC_NAME_MAX];

	if (s->over)
		return;
	if (past_deadline(s)) {
		fail_at_deadline(s);
		return;
	}
	if (s->n_started >= s->conf.max_attempts) {
		wait_for_last(s);
		return;
	}
	if (s->begun && !check_caller(s))
		return;
	s->begun = true;
	if (!pick_engine(s, engine)) {
		wait_to_pick(s);
		return;
	}
	/* The delay goes on growing until some engine yields a token. */
	s->waiting = false;
	if (s->conf.policy == GC_POLICY_ECONOMY)
		stop_attempt(s, &s->main, true);
	if (is_live(&s->extra)) {
		/* Both are silent; the one that was silent longer goes. */
		attempt_t next = s->extra;

		memset(&s->extra, 0, sizeof(s->extra));
		stop_attempt(s, &s->main, true);
		s->main = next;
	}
	start_run(s, engine);
}

/* An attempt is gone; goes on with the other one or elsewhere. */
static void after_loss(gc_stream_t *s)
{
	if (s->over)
		return;
	if (!is_live(&s->main) && is_live(&s->extra)) {
		s->main = s->extra;
		memset(&s->extra, 0, sizeof(s->extra));
	}
	if (!is_live(&s->main) || s->main.suspected)
		start_elsewhere(s);
}

/* The check of a cursor's run. */

static void run_is_lost(gc_stream_t *s)
{
	if (s->over)
		return;
	if (!s->has_prefix) {
		drop_tokens(s);
		fail(s, GC_ERR_LOST, "resume",
		     "nobody holds the delivered tokens");
		return;
	}
	use_prefix(s);
	if (is_whole(s)) {
		finish(s, REASON_LENGTH);
		return;
	}
	start_elsewhere(s);
}

static void attach_to_check(gc_stream_t *s)
{
	attempt_t run = {.yielded = true};

	s->waiting = false;
	if (past_deadline(s)) {
		fail_at_deadline(s);
		return;
	}
	if (s->begun && !check_caller(s))
		return;
	s->begun = true;
	s->check_tries++;
	drop_tokens(s);
	g_strlcpy(run.engine, s->cursor.engine, sizeof(run.engine));
	g_strlcpy(run.run, s->cursor.run, sizeof(run.run));
	attach_run(s, &run);
}

/* The connection was cut or silent before the check ended. */
static void check_again(gc_stream_t *s)
{
	uint32_t max = s->has_prefix ? 1 + REATTACH_MAX : CHECK_TRIES_MAX;

	if (s->over)
		return;
	if (s->check_tries >= max) {
		run_is_lost(s);
		return;
	}
	if (s->check_tries <= REATTACH_MAX) {
		attach_to_check(s);
		return;
	}
	wait_until(s, (int64_t)CHECK_RETRY_DELAY_MS
			      << (s->check_tries - REATTACH_MAX - 1));
}

/*
 * The run's tokens differ from the caller's. The run is not ended: after a
 * restart of its engine the id may name another request's run.
 */
static void check_failed(gc_stream_t *s, attempt_t *a)
{
	note_error(s, a->engine, RUN_DIFFERS);
	stop_attempt(s, a, false);
	run_is_lost(s);
}

static void check_token(gc_stream_t *s, attempt_t *a, gc_str_t token)
{
	a->silent_since = now_of(s);
	hold_token(s, token);
	if (s->n_tokens < s->cursor.offset)
		return;
	if (s->hash != s->cursor.hash) {
		check_failed(s, a);
		return;
	}
	s->checking = false;
	a->reattached = 0;
}

/* A token of an attached run that is held already. */
static void compare_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			  gc_str_t token)
{
	a->silent_since = now_of(s);
	if (!gc_str_eq(token, gc_stream_token(s, offset)))
		leave_run(s, a);
}

/* The id names another run than before; that run is not ended. */
static void leave_run(gc_stream_t *s, attempt_t *a)
{
	note_error(s, a->engine, RUN_DIFFERS);
	stop_attempt(s, a, false);
	after_loss(s);
}

/* Events of attempts. */

static void report(gc_stream_t *s, const char *engine,
		   gc_engine_verdict_t verdict)
{
	char name[GC_NAME_MAX];

	if (s->over)
		return;
	g_strlcpy(name, engine, sizeof(name));
	s->ops->report(s->ctx, name, verdict);
}

static void break_protocol(gc_stream_t *s, attempt_t *a, const char *what)
{
	note_error(s, a->engine, what);
	avoid_engine(s, a->engine);
	report(s, a->engine, GC_ENGINE_FAILED);
	if (s->checking) {
		stop_attempt(s, a, false);
		run_is_lost(s);
		return;
	}
	stop_attempt(s, a, true);
	if (is_whole(s)) {
		finish(s, REASON_LENGTH);
		return;
	}
	after_loss(s);
}

/* The attempt yielded first: it becomes the only one. */
static attempt_t *win(gc_stream_t *s, attempt_t *a)
{
	stop_waiting(s);
	if (a == &s->extra) {
		attempt_t loser = s->main;

		s->main = s->extra;
		s->extra = loser;
	}
	a = &s->main;
	a->yielded = true;
	a->suspected = false;
	a->last_wait = false;
	a->probing = false;
	a->reattached = 0;
	a->silent_since = now_of(s);
	stop_attempt(s, &s->extra, true);
	return a;
}

static void deliver(gc_stream_t *s, attempt_t *a, gc_str_t token)
{
	gc_cursor_t cursor = {.attempt = a->number};

	a = win(s, a);
	if (!a->reported) {
		a->reported = true;
		report(s, a->engine, GC_ENGINE_OK);
	}
	if (s->over)
		return;
	hold_token(s, token);
	memcpy(cursor.request, s->conf.request, sizeof(cursor.request));
	g_strlcpy(cursor.engine, a->engine, sizeof(cursor.engine));
	g_strlcpy(cursor.run, a->run, sizeof(cursor.run));
	cursor.offset = s->n_tokens;
	cursor.hash = s->hash;
	s->ops->deliver(s->ctx, token, &cursor);
}

static void run_accepted(gc_stream_t *s, attempt_t *a, const char *run,
			 uint64_t from)
{
	if (a->state != ATTEMPT_STARTING) {
		break_protocol(s, a, "second run event");
		return;
	}
	if (run[0] == '\0' || strlen(run) >= sizeof(a->run)) {
		break_protocol(s, a, "run id empty or too long");
		return;
	}
	if (a->attached && strcmp(run, a->run) != 0) {
		break_protocol(s, a, "attached to another run");
		return;
	}
	/* A new run with another prefix would be another response. */
	if (from != a->from) {
		break_protocol(s, a, "first offset is not the requested one");
		return;
	}
	a->state = ATTEMPT_STREAMING;
	g_strlcpy(a->run, run, sizeof(a->run));
	a->silent_since = now_of(s);
	/* A sign of life, as long as nothing was started instead. */
	if (!other_of(s, a)) {
		a->suspected = false;
		stop_waiting(s);
	}
	if (s->checking && s->cursor.offset == 0)
		s->checking = false;
}

static void take_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
		       gc_str_t token)
{
	if (a->state != ATTEMPT_STREAMING) {
		break_protocol(s, a, "token before the run event");
		return;
	}
	if (offset < a->next)
		return;
	if (offset > a->next) {
		break_protocol(s, a, "gap between tokens");
		return;
	}
	if (s->conf.max_tokens > 0 && offset >= s->conf.max_tokens) {
		break_protocol(s, a, "token beyond the limit");
		return;
	}
	a->next++;
	if (s->checking)
		check_token(s, a, token);
	else if (offset < s->n_tokens)
		compare_token(s, a, offset, token);
	else
		deliver(s, a, token);
}

static void take_end(gc_stream_t *s, attempt_t *a, const char *reason,
		     uint64_t tokens)
{
	if (a->state != ATTEMPT_STREAMING) {
		break_protocol(s, a, "end before the run event");
		return;
	}
	if (s->checking) {
		check_failed(s, a);
		return;
	}
	if (a->next < s->n_tokens) {
		leave_run(s, a);
		return;
	}
	if (tokens != s->n_tokens) {
		break_protocol(s, a, "number of tokens differs at the end");
		return;
	}
	a = win(s, a);
	stop_attempt(s, a, false);
	finish(s, reason);
}

static bool is_cut(const GError *err)
{
	return g_error_matches(err, GC_ERROR, GC_ERR_IO) ||
	       g_error_matches(err, GC_ERROR, GC_ERR_TIMEOUT);
}

static void take_broken(gc_stream_t *s, attempt_t *a, const GError *err)
{
	bool is_gone =
		a->attached && g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND);
	attempt_t was = *a;

	memset(a, 0, sizeof(*a));
	note_error(s, was.engine, err->message);
	if (s->checking) {
		if (is_cut(err))
			check_again(s);
		else
			run_is_lost(s);
		return;
	}
	if (is_whole(s)) {
		finish(s, REASON_LENGTH);
		return;
	}
	if (is_cut(err) && was.run[0] && !was.probing &&
	    was.reattached < REATTACH_MAX && !other_of(s, a) &&
	    !past_deadline(s)) {
		if (!check_caller(s))
			return;
		was.reattached++;
		attach_run(s, &was);
		return;
	}
	if (!is_gone) {
		avoid_engine(s, was.engine);
		report(s, was.engine, GC_ENGINE_FAILED);
		/* The run may go on behind the cut connection. */
		if (was.run[0])
			s->ops->cancel(s->ctx, was.number, true);
	}
	after_loss(s);
}

/* Silence. */

static void probe(gc_stream_t *s, attempt_t *a)
{
	attempt_t was = *a;

	if (!check_caller(s))
		return;
	stop_attempt(s, a, false);
	was.probing = true;
	attach_run(s, &was);
}

/*
 * The silent attempt is kept until another engine is picked: a run that is
 * only slow is worth more than none.
 */
static void give_up_waiting(gc_stream_t *s, attempt_t *a)
{
	if (a->last_wait) {
		fail(s, GC_ERR_TIMEOUT, "stall", "no engine yields a token");
		return;
	}
	a->suspected = true;
	a->reported = false;
	note_error(s, a->engine, "stalled");
	avoid_engine(s, a->engine);
	report(s, a->engine, GC_ENGINE_STALLED);
	start_elsewhere(s);
}

static void suspect(gc_stream_t *s, attempt_t *a)
{
	if (s->checking) {
		note_error(s, a->engine, "stalled");
		stop_attempt(s, a, false);
		check_again(s);
	} else if (is_whole(s)) {
		finish(s, REASON_LENGTH);
	} else if (s->conf.policy == GC_POLICY_ECONOMY && a->run[0] &&
		   !a->probing && !a->last_wait) {
		probe(s, a);
	} else {
		give_up_waiting(s, a);
	}
}

/* False if the attempt's silence has no consequence now. */
static bool silence_ends(const gc_stream_t *s, const attempt_t *a,
			 struct timespec *at)
{
	int64_t ms;

	if (!is_live(a) || (a->suspected && !a->last_wait))
		return false;
	ms = s->ops->stall_timeout_ms(s->ctx, a->engine, !a->yielded);
	*at = gc_add_ms(a->silent_since, ms);
	return true;
}

static void check_silence(gc_stream_t *s, attempt_t *a, uint32_t number)
{
	struct timespec at;

	/* An earlier step may have replaced the attempt. */
	if (s->over || a->number != number)
		return;
	if (silence_ends(s, a, &at) && has_passed(now_of(s), at))
		suspect(s, a);
}

static void start_after_wait(gc_stream_t *s)
{
	s->waited = true;
	start_elsewhere(s);
	s->waited = false;
}

static void retry(gc_stream_t *s)
{
	if (s->over || !s->waiting || !has_passed(now_of(s), s->retry_at))
		return;
	if (s->checking)
		attach_to_check(s);
	else if (!is_live(&s->main) || s->main.suspected)
		start_after_wait(s);
	else
		stop_waiting(s);
}

/* Timer. */

static void earliest(struct timespec *next, bool *has_next, struct timespec at)
{
	if (!*has_next || gc_us_between(at, *next) > 0)
		*next = at;
	*has_next = true;
}

/*
 * The timer is moved only to an earlier time; when it fires too early, it is
 * set again. This saves a call per token.
 */
static void arm(gc_stream_t *s)
{
	struct timespec now = now_of(s);
	struct timespec next = {0};
	struct timespec at;
	bool has_next = false;

	if (s->over)
		return;
	if (has_deadline(s))
		earliest(&next, &has_next, s->conf.deadline);
	if (s->waiting)
		earliest(&next, &has_next, s->retry_at);
	if (silence_ends(s, &s->main, &at))
		earliest(&next, &has_next, at);
	if (silence_ends(s, &s->extra, &at))
		earliest(&next, &has_next, at);
	if (!has_next || (s->armed && gc_us_between(s->armed_at, next) >= 0))
		return;
	/* The lateness of the timer counts from now on. */
	if (has_passed(now, next))
		next = now;
	s->armed = true;
	s->armed_at = next;
	s->ops->set_timer(s->ctx, &next);
}

/* Silence during a pause is no evidence: its tokens may wait to be read. */
static void forget_silence(gc_stream_t *s)
{
	s->main.silent_since = now_of(s);
	s->extra.silent_since = now_of(s);
}

/* Public functions. */

gc_stream_t *gc_stream_create(TALLOC_CTX *mem, const gc_stream_conf_t *conf,
			      const gc_stream_ops_t *ops, void *ctx)
{
	gc_stream_t *s = talloc_zero(mem, gc_stream_t);

	s->conf = *conf;
	s->ops = ops;
	s->ctx = ctx;
	s->bytes = talloc_array(s, char, 0);
	s->ends = talloc_array(s, uint64_t, 0);
	return s;
}

void gc_stream_destroy(gc_stream_t *stream)
{
	talloc_free(stream);
}

void gc_stream_begin(gc_stream_t *stream)
{
	start_elsewhere(stream);
	arm(stream);
}

void gc_stream_resume(gc_stream_t *stream, const gc_cursor_t *cursor,
		      const gc_str_t *prefix, size_t n)
{
	stream->cursor = *cursor;
	stream->last_number = cursor->attempt;
	stream->checking = true;
	if (prefix_matches(cursor, prefix, n))
		keep_prefix(stream, prefix, n);
	attach_to_check(stream);
	arm(stream);
}

void gc_stream_on_run(gc_stream_t *stream, uint32_t attempt, const char *run,
		      uint64_t from)
{
	attempt_t *a = find(stream, attempt);

	if (!a)
		return;
	run_accepted(stream, a, run, from);
	arm(stream);
}

void gc_stream_on_token(gc_stream_t *stream, uint32_t attempt, uint64_t offset,
			gc_str_t token)
{
	attempt_t *a = find(stream, attempt);

	if (!a)
		return;
	take_token(stream, a, offset, token);
	arm(stream);
}

void gc_stream_on_end(gc_stream_t *stream, uint32_t attempt, const char *reason,
		      uint64_t tokens)
{
	attempt_t *a = find(stream, attempt);

	if (!a)
		return;
	take_end(stream, a, reason, tokens);
	arm(stream);
}

void gc_stream_on_broken(gc_stream_t *stream, uint32_t attempt,
			 const GError *err)
{
	attempt_t *a = find(stream, attempt);

	if (!a)
		return;
	take_broken(stream, a, err);
	arm(stream);
}

void gc_stream_on_timer(gc_stream_t *stream)
{
	uint32_t numbers[] = {stream->main.number, stream->extra.number};
	bool paused;

	if (stream->over)
		return;
	paused = stream->armed &&
		 gc_ms_between(stream->armed_at, now_of(stream)) > PAUSE_MS;
	stream->armed = false;
	if (paused) {
		if (!check_caller(stream))
			return;
		forget_silence(stream);
	}
	if (past_deadline(stream)) {
		fail_at_deadline(stream);
		return;
	}
	check_silence(stream, &stream->main, numbers[0]);
	check_silence(stream, &stream->extra, numbers[1]);
	retry(stream);
	arm(stream);
}

void gc_stream_on_caller_gone(gc_stream_t *stream)
{
	if (!stream->over)
		stop_all(stream);
}

uint64_t gc_stream_tokens(const gc_stream_t *stream)
{
	return stream->n_tokens;
}

gc_str_t gc_stream_token(const gc_stream_t *stream, uint64_t i)
{
	uint64_t at = i > 0 ? stream->ends[i - 1] : 0;

	return (gc_str_t){stream->bytes + at, stream->ends[i] - at};
}

bool gc_stream_over(const gc_stream_t *stream)
{
	return stream->over;
}
