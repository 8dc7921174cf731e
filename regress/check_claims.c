/*
 * Guards against two grants of one key and against messages lost between
 * threads: two controllers, as of two daemons, share a key-value service that
 * loses answers, and two threads claim the same keys at both.
 */
#include <check.h>
#include <stdlib.h>

#include "lib/claims.h"
#include "lib/httpd.h"

#define KEYS	      200
#define THREADS	      2
#define KV_TIMEOUT_MS 200
#define WAIT_MS	      10000
/* Every so many writes, the answer is lost after the write took effect. */
#define LOSE_EVERY 5

typedef struct world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	GHashTable *values; /* path to GByteArray */
	GHashTable *indexes; /* path to index */
	unsigned int last_index;
	unsigned int writes;
	gc_claims_t *claims[2];
	int grants[KEYS]; /* atomic */
	int refused; /* atomic */
	int running_threads; /* atomic */
} world_t;

typedef struct caller {
	world_t *world;
	unsigned int number;
	unsigned int answers;
	GThread *thread;
} caller_t;

/* One claim; plain memory, freed by its answer. */
typedef struct attempt {
	caller_t *caller;
	gc_claims_t *claims;
	unsigned int key;
} attempt_t;

static uint64_t next_random(void *ctx);
static void on_kv(void *ctx, gc_http_req_t *req);
static void kv_put(world_t *w, gc_http_req_t *req);
static void kv_get(world_t *w, gc_http_req_t *req);
static void *call(void *ctx);
static void on_claim(void *ctx, const gc_claim_t *claim,
		     const gc_claim_answer_t *answer);
static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *ctx);
static void free_bytes(gpointer data);
static void set_up(world_t *w);

static uint64_t next_random(void *ctx)
{
	uint64_t *state = ctx;

	*state = *state * UINT64_C(6364136223846793005) + 1;
	return *state >> 33;
}

static void on_kv(void *ctx, gc_http_req_t *req)
{
	if (strcmp(gc_http_req_method(req), "PUT") == 0)
		kv_put(ctx, req);
	else
		kv_get(ctx, req);
}

static void kv_put(world_t *w, gc_http_req_t *req)
{
	const char *path = gc_http_req_path(req);
	gc_str_t body = gc_http_req_body(req);
	unsigned int cas = atoi(gc_http_req_query(req, "cas"));
	GByteArray *value;

	if (cas != GPOINTER_TO_UINT(g_hash_table_lookup(w->indexes, path))) {
		gc_http_reply(req, 200, "application/json",
			      GC_STR_LIT("false"));
		return;
	}
	value = g_byte_array_new();
	g_byte_array_append(value, (const guint8 *)body.data, body.len);
	g_hash_table_replace(w->values, g_strdup(path), value);
	g_hash_table_replace(w->indexes, g_strdup(path),
			     GUINT_TO_POINTER(++w->last_index));
	if (++w->writes % LOSE_EVERY == 0) {
		gc_http_stream_begin(req, 200, "application/json");
		gc_http_stream_abort(req);
		return;
	}
	gc_http_reply(req, 200, "application/json", GC_STR_LIT("true"));
}

static void kv_get(world_t *w, gc_http_req_t *req)
{
	const char *path = gc_http_req_path(req);
	GByteArray *value = g_hash_table_lookup(w->values, path);
	char *base64, *text;

	if (!value) {
		gc_http_reply(req, 404, "text/plain", GC_STR_EMPTY);
		return;
	}
	base64 = g_base64_encode(value->data, value->len);
	text = g_strdup_printf(
		"[{\"Value\":\"%s\",\"ModifyIndex\":%u}]", base64,
		GPOINTER_TO_UINT(g_hash_table_lookup(w->indexes, path)));
	gc_http_reply(req, 200, "application/json", gc_str(text));
	g_free(text);
	g_free(base64);
}

/* A traffic thread: claims every key, at one controller and the other. */
static void *call(void *ctx)
{
	caller_t *caller = ctx;
	world_t *w = caller->world;
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	gc_mailbox_t *mailbox = gc_mailbox_create(mem, ev, NULL);
	struct timespec deadline =
		gc_add_ms(gc_clock_now(&gc_clock_system), WAIT_MS);

	for (unsigned int key = 0; key < KEYS; key++) {
		attempt_t *attempt = g_new0(attempt_t, 1);
		char *uuid = g_strdup_printf("key%u", key);
		gc_claim_t claim;

		attempt->caller = caller;
		attempt->claims = w->claims[(key + caller->number) % 2];
		attempt->key = key;
		gc_claim_init(&claim, GC_STR_LIT("account"), gc_str(uuid), 0,
			      GC_STR_LIT("request"));
		gc_claims_begin(attempt->claims, mailbox, &claim, deadline,
				on_claim, attempt);
		g_free(uuid);
	}
	while (caller->answers < KEYS)
		tevent_loop_once(ev);
	talloc_free(mem);
	g_atomic_int_add(&w->running_threads, -1);
	return NULL;
}

static void on_claim(void *ctx, const gc_claim_t *claim,
		     const gc_claim_answer_t *answer)
{
	attempt_t *attempt = ctx;
	world_t *w = attempt->caller->world;

	attempt->caller->answers++;
	if (answer->verdict == GC_CLAIM_GRANTED) {
		g_atomic_int_inc(&w->grants[attempt->key]);
		gc_claims_finish(attempt->claims, claim, 200,
				 GC_STR_LIT("\"ok\""));
	}
	if (answer->verdict == GC_CLAIM_REFUSED)
		g_atomic_int_inc(&w->refused);
	g_free(attempt);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *ctx)
{
}

static void free_bytes(gpointer data)
{
	g_byte_array_unref(data);
}

static void set_up(world_t *w)
{
	static uint64_t states[2];
	static gc_random_t random[2];
	const gc_httpd_conf_t conf = {.address = "127.0.0.1",
				      .max_body = 1 << 20};
	gc_httpd_t *server;
	char *url;

	*w = (world_t){.mem = talloc_new(NULL)};
	w->ev = tevent_context_init(w->mem);
	w->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_bytes);
	w->indexes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server = gc_httpd_create(w->mem, w->ev, &conf, on_kv, w, NULL);
	ck_assert_ptr_nonnull(server);
	url = talloc_asprintf(w->mem, "http://127.0.0.1:%u",
			      gc_httpd_port(server));
	for (int i = 0; i < 2; i++) {
		/* The same seed: nonces must differ all the same. */
		states[i] = 1;
		random[i] = (gc_random_t){next_random, &states[i]};
		w->claims[i] = gc_claims_create(
			w->mem, w->ev,
			gc_kv_create(w->mem, gc_httpc_create(w->mem, w->ev),
				     url, KV_TIMEOUT_MS),
			gc_mailbox_create(w->mem, w->ev, NULL),
			&gc_clock_system, &random[i], 2);
	}
}

START_TEST(test_threads)
{
	caller_t callers[THREADS];
	world_t w;

	set_up(&w);
	w.running_threads = THREADS;
	for (unsigned int i = 0; i < THREADS; i++) {
		callers[i] = (caller_t){&w, i, 0, NULL};
		callers[i].thread = g_thread_new("caller", call, &callers[i]);
	}
	while (g_atomic_int_get(&w.running_threads) > 0 ||
	       gc_claims_open(w.claims[0]) > 0 ||
	       gc_claims_open(w.claims[1]) > 0) {
		/* The end of a thread is no event of this loop. */
		tevent_add_timer(w.ev, w.mem,
				 tevent_timeval_current_ofs(0, 10000), on_tick,
				 NULL);
		tevent_loop_once(w.ev);
	}
	for (unsigned int i = 0; i < THREADS; i++)
		g_thread_join(callers[i].thread);
	for (unsigned int key = 0; key < KEYS; key++)
		ck_assert_int_eq(w.grants[key], 1);
	ck_assert_int_eq(w.refused, 0);
	g_hash_table_destroy(w.values);
	g_hash_table_destroy(w.indexes);
	talloc_free(w.mem);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("claims");
	TCase *tcase = tcase_create("claims");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 20);
	tcase_add_test(tcase, test_threads);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
