/*
 * Guards against granting a key twice and against losing messages between
 * threads. Two gc_claims_t, as in two daemons, share a key-value service that
 * drops some responses; two threads claim the same keys through both.
 */
#include <check.h>
#include <stdlib.h>

#include "lib/claims.h"
#include "lib/httpd.h"

#define N_KEYS		 200
#define N_THREADS	 2
#define KV_TIMEOUT_MS	 200
#define CLAIM_TIMEOUT_MS 10000
/* Every n-th write takes effect, but its response is dropped. */
#define LOST_RESPONSE_INTERVAL 5

typedef struct fixture {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	GHashTable *values; /* path -> GByteArray */
	GHashTable *indexes; /* path -> index */
	unsigned int last_index;
	unsigned int n_writes;
	gc_claims_t *claims[2];
	int grants[N_KEYS]; /* atomic */
	int n_refused; /* atomic */
	int running_threads; /* atomic */
} fixture_t;

typedef struct caller {
	fixture_t *fixture;
	unsigned int index;
	unsigned int n_answers;
	GThread *thread;
} caller_t;

/* A claim without an answer; freed when the answer arrives. */
typedef struct pending_claim {
	caller_t *caller;
	gc_claims_t *claims;
	unsigned int key;
} pending_claim_t;

static uint64_t next_random(void *ctx);
static void handle_kv_request(void *ctx, gc_http_req_t *req);
static void handle_put(fixture_t *f, gc_http_req_t *req);
static void handle_get(fixture_t *f, gc_http_req_t *req);
static void *run_caller(void *ctx);
static void handle_answer(void *ctx, const gc_claim_t *claim,
			  const gc_claim_answer_t *answer);
static void ignore_timer(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);
static void free_bytes(gpointer data);
static void set_up(fixture_t *f);

static uint64_t next_random(void *ctx)
{
	uint64_t *state = ctx;

	*state = *state * UINT64_C(6364136223846793005) + 1;
	return *state >> 33;
}

static void handle_kv_request(void *ctx, gc_http_req_t *req)
{
	if (strcmp(gc_http_req_method(req), "PUT") == 0)
		handle_put(ctx, req);
	else
		handle_get(ctx, req);
}

static void handle_put(fixture_t *f, gc_http_req_t *req)
{
	const char *path = gc_http_req_path(req);
	gc_str_t body = gc_http_req_body(req);
	unsigned int cas = atoi(gc_http_req_query_arg(req, "cas"));
	GByteArray *value;

	if (cas != GPOINTER_TO_UINT(g_hash_table_lookup(f->indexes, path))) {
		gc_http_reply(req, 200, "application/json",
			      GC_STR_LIT("false"));
		return;
	}
	value = g_byte_array_new();
	g_byte_array_append(value, (const guint8 *)body.data, body.len);
	g_hash_table_replace(f->values, g_strdup(path), value);
	g_hash_table_replace(f->indexes, g_strdup(path),
			     GUINT_TO_POINTER(++f->last_index));
	if (++f->n_writes % LOST_RESPONSE_INTERVAL == 0) {
		gc_http_stream_begin(req, 200, "application/json");
		gc_http_stream_abort(req);
		return;
	}
	gc_http_reply(req, 200, "application/json", GC_STR_LIT("true"));
}

static void handle_get(fixture_t *f, gc_http_req_t *req)
{
	const char *path = gc_http_req_path(req);
	GByteArray *value = g_hash_table_lookup(f->values, path);
	char *base64, *text;

	if (!value) {
		gc_http_reply(req, 404, "text/plain", GC_STR_EMPTY);
		return;
	}
	base64 = g_base64_encode(value->data, value->len);
	text = g_strdup_printf(
		"[{\"Value\":\"%s\",\"ModifyIndex\":%u}]", base64,
		GPOINTER_TO_UINT(g_hash_table_lookup(f->indexes, path)));
	gc_http_reply(req, 200, "application/json", gc_str(text));
	g_free(text);
	g_free(base64);
}

/* A traffic thread: claims every key, alternating between both gc_claims_t. */
static void *run_caller(void *ctx)
{
	caller_t *caller = ctx;
	fixture_t *f = caller->fixture;
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	gc_mailbox_t *mailbox = gc_mailbox_create(mem, ev, NULL);
	struct timespec deadline =
		gc_add_ms(gc_clock_now(&gc_clock_system), CLAIM_TIMEOUT_MS);

	for (unsigned int key = 0; key < N_KEYS; key++) {
		pending_claim_t *pending_claim = g_new0(pending_claim_t, 1);
		char *uuid = g_strdup_printf("key%u", key);
		gc_claim_t claim;

		pending_claim->caller = caller;
		pending_claim->claims = f->claims[(key + caller->index) % 2];
		pending_claim->key = key;
		gc_claim_init(&claim, GC_STR_LIT("account"), gc_str(uuid), 0,
			      GC_STR_LIT("request"));
		gc_claims_begin(pending_claim->claims, mailbox, &claim,
				deadline, handle_answer, pending_claim);
		g_free(uuid);
	}
	while (caller->n_answers < N_KEYS)
		tevent_loop_once(ev);
	talloc_free(mem);
	g_atomic_int_add(&f->running_threads, -1);
	return NULL;
}

static void handle_answer(void *ctx, const gc_claim_t *claim,
			  const gc_claim_answer_t *answer)
{
	pending_claim_t *pending_claim = ctx;
	fixture_t *f = pending_claim->caller->fixture;

	pending_claim->caller->n_answers++;
	if (answer->verdict == GC_CLAIM_GRANTED) {
		g_atomic_int_inc(&f->grants[pending_claim->key]);
		gc_claims_finish(pending_claim->claims, claim, 200,
				 GC_STR_LIT("\"ok\""));
	}
	if (answer->verdict == GC_CLAIM_REFUSED)
		g_atomic_int_inc(&f->n_refused);
	g_free(pending_claim);
}

static void ignore_timer(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
}

static void free_bytes(gpointer data)
{
	g_byte_array_unref(data);
}

static void set_up(fixture_t *f)
{
	static uint64_t states[2];
	static gc_random_t random[2];
	const gc_httpd_conf_t conf = {.address = "127.0.0.1",
				      .max_body = 1 << 20};
	gc_httpd_t *server;
	char *url;

	*f = (fixture_t){.mem = talloc_new(NULL)};
	f->ev = tevent_context_init(f->mem);
	f->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_bytes);
	f->indexes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server = gc_httpd_create(f->mem, f->ev, &conf, handle_kv_request, f,
				 NULL);
	ck_assert_ptr_nonnull(server);
	url = talloc_asprintf(f->mem, "http://127.0.0.1:%u",
			      gc_httpd_port(server));
	for (int i = 0; i < 2; i++) {
		/* Both have the same seed; their nonces must differ anyway. */
		states[i] = 1;
		random[i] = (gc_random_t){next_random, &states[i]};
		f->claims[i] = gc_claims_create(
			f->mem, f->ev,
			gc_kv_create(f->mem, gc_httpc_create(f->mem, f->ev),
				     url, KV_TIMEOUT_MS),
			gc_mailbox_create(f->mem, f->ev, NULL),
			&gc_clock_system, &random[i], 2);
	}
}

START_TEST(test_concurrent_claims)
{
	caller_t callers[N_THREADS];
	fixture_t f;

	set_up(&f);
	f.running_threads = N_THREADS;
	for (unsigned int i = 0; i < N_THREADS; i++) {
		callers[i] = (caller_t){&f, i, 0, NULL};
		callers[i].thread =
			g_thread_new("caller", run_caller, &callers[i]);
	}
	while (g_atomic_int_get(&f.running_threads) > 0 ||
	       gc_claims_open_count(f.claims[0]) > 0 ||
	       gc_claims_open_count(f.claims[1]) > 0) {
		/* The end of a thread does not wake this loop; a timer does. */
		tevent_add_timer(f.ev, f.mem,
				 tevent_timeval_current_ofs(0, 10000),
				 ignore_timer, NULL);
		tevent_loop_once(f.ev);
	}
	for (unsigned int i = 0; i < N_THREADS; i++)
		g_thread_join(callers[i].thread);
	for (unsigned int key = 0; key < N_KEYS; key++)
		ck_assert_int_eq(f.grants[key], 1);
	ck_assert_int_eq(f.n_refused, 0);
	g_hash_table_destroy(f.values);
	g_hash_table_destroy(f.indexes);
	talloc_free(f.mem);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("claims");
	TCase *tcase = tcase_create("claims");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 20);
	tcase_add_test(tcase, test_concurrent_claims);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
