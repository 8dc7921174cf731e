/*
 * Guards against roll-outs without a record, with a decision that changes or is lost by a
 * restore of the store, and against records of daemons that know less than another one.
 *
 * Several controllers share a fake store. Timers, calls between daemons and the judge are
 * replaced by the functions below, so that the time is simulated.
 */
#include <string.h>

#include <xxhash.h>

#include "core/error.h"
#include "core/rollout_judge.h"
#include "lib/issuers.h"
#include "lib/rollouts.h"
#include "platform/platform.h"
#include "regress/unit.h"

#define N_DAEMONS   3
#define ORDER_KEY   "op/rollout/app"
#define RECORD_KEY  "status/rollout/app"
#define ORDER_V2    "{\"service\":\"app\",\"target\":\"v2\",\"duration_s\":12}"
#define ORDER_V3    "{\"service\":\"app\",\"target\":\"v3\",\"duration_s\":12}"
#define BAD_ANSWERS 50
#define STEP_MS	    10

struct gc_timer {
	struct gc_timer *next;
	gc_timer_fn_t fn;
	void *ctx;
	int64_t due_ms; /* -1: stopped */
};

struct gc_http_call {
	struct gc_http_call *next;
	gc_http_call_ops_t ops;
	void *ctx;
	char *url;
	char *body;
	size_t body_len;
};

typedef struct daemon {
	char name[8];
	char address[32];
	bool dead;
	bool unreachable; /* by the other daemons but `friend` */
	const struct daemon *friend; /* NULL: none */
	bool cut_off; /* from the store */
	gc_rollouts_t *rollouts;
	gc_rollout_record_t *record; /* the last one that came into force */
	unsigned int n_backwards; /* decisions that were taken back */
	unsigned int n_failed; /* bad answers of the target that it counted */
	int64_t elapsed_ms; /* in its last report */
} daemon_t;

typedef struct write_call {
	struct write_call *next;
	daemon_t *daemon;
	char *value;
	uint64_t expected;
	gc_store_done_t done;
	void *ctx;
} write_call_t;

typedef struct stored {
	char *value; /* NULL: none */
	uint64_t revision;
} stored_t;

static struct {
	TALLOC_CTX *mem;
	int64_t now_ms;
	struct gc_timer *timers;
	struct gc_http_call *calls;
	write_call_t *writes;
	daemon_t daemons[N_DAEMONS];
	gc_fleet_view_t *view;
	gc_clock_t clock;
	uint64_t seed;
	gc_random_t random;
	uint64_t revision;
	uint64_t era;
	stored_t order;
	stored_t record;
	bool busy; /* the store answers no write */
	bool slow; /* it has not answered yet */
	unsigned int n_writes; /* tried */
	unsigned int n_conflicts;
	unsigned int n_decisions; /* records of the store that were decided */
	uint64_t decided_order;
} world;

/* Timers. */

gc_timers_t *gc_timers_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	return NULL;
}

static int timer_destructor(struct gc_timer *timer)
{
	struct gc_timer **at = &world.timers;

	while (*at != timer)
		at = &(*at)->next;
	*at = timer->next;
	return 0;
}

gc_timer_t *gc_timer_create(TALLOC_CTX *mem, gc_timers_t *timers,
			    gc_timer_fn_t fn, void *ctx)
{
	struct gc_timer *timer = talloc_zero(mem, struct gc_timer);

	timer->fn = fn;
	timer->ctx = ctx;
	timer->due_ms = -1;
	timer->next = world.timers;
	world.timers = timer;
	talloc_set_destructor(timer, timer_destructor);
	return timer;
}

void gc_timer_set(gc_timer_t *timer, int64_t ms)
{
	timer->due_ms = world.now_ms + (ms < 1 ? 1 : ms);
}

void gc_timer_stop(gc_timer_t *timer)
{
	timer->due_ms = -1;
}

void gc_timer_destroy(gc_timer_t *timer)
{
	talloc_free(timer);
}

/* Calls between daemons. */

gc_http_call_t *gc_httpc_start(gc_httpc_t *client,
			       const gc_http_call_conf_t *conf,
			       const gc_http_call_ops_t *ops, void *ctx)
{
	struct gc_http_call *call = talloc_zero(world.mem, struct gc_http_call);
	struct gc_http_call **at = &world.calls;

	ck_assert_uint_le(conf->body.len, 16384);
	call->ops = *ops;
	call->ctx = ctx;
	call->url = talloc_strdup(call, conf->url);
	call->body = talloc_strndup(call, conf->body.data, conf->body.len);
	call->body_len = conf->body.len;
	while (*at)
		at = &(*at)->next;
	*at = call;
	return call;
}

void gc_http_call_cancel(gc_http_call_t *call)
{
	struct gc_http_call **at = &world.calls;

	while (*at != call)
		at = &(*at)->next;
	*at = call->next;
	talloc_free(call);
}

static daemon_t *find_daemon(uint64_t hash)
{
	for (size_t i = 0; i < N_DAEMONS; i++)
		if (XXH64(world.daemons[i].name, strlen(world.daemons[i].name),
			  0) == hash)
			return &world.daemons[i];
	return NULL;
}

static bool reaches(const struct gc_http_call *call, const daemon_t *daemon)
{
	const char *sender = strstr(call->body, "\"daemon\":\"");
	g_autofree char *url =
		g_strdup_printf("http://%s" GC_ROLLOUTS_PATH, daemon->address);

	ck_assert_ptr_nonnull(sender);
	return strcmp(url, call->url) == 0 && !daemon->dead &&
	       (!daemon->unreachable ||
		(daemon->friend &&
		 daemon->friend ==
			 find_daemon(g_ascii_strtoull(
				 sender + strlen("\"daemon\":\""), NULL, 16))));
}

static void answer_call(struct gc_http_call *call)
{
	GError *err = NULL;
	char *text = NULL;

	for (size_t i = 0; i < N_DAEMONS; i++) {
		daemon_t *daemon = &world.daemons[i];

		if (!reaches(call, daemon))
			continue;
		text = gc_rollouts_peer_response(daemon->rollouts,
						 (gc_str_t){call->body,
							    call->body_len});
		ck_assert_ptr_nonnull(text);
	}
	if (!text)
		gc_error_set(&err, GC_ERR_TIMEOUT, "report", "daemon",
			     "no answer");
	call->ops.done(call->ctx, text ? 200 : 0, gc_str(text), true, err);
	g_clear_error(&err);
	g_free(text);
	talloc_free(call);
}

/* The judge: takes a target back when it has 50 bad answers of all daemons. */

struct gc_rollout_judge {
	gc_rollout_order_t order;
	struct timespec created;
	int64_t elapsed_ms; /* at that time */
	uint64_t daemons[N_DAEMONS];
	uint32_t n_failed[N_DAEMONS];
	gc_rollout_record_t record;
	gc_str_t barred[4];
};

gc_rollout_judge_t *gc_rollout_judge_create(TALLOC_CTX *mem,
					    const gc_rollout_limits_t *limits,
					    const gc_rollout_order_t *order,
					    struct timespec now,
					    int64_t elapsed_ms)
{
	gc_rollout_judge_t *judge = talloc_zero(mem, gc_rollout_judge_t);

	judge->order = *order;
	judge->order.service = gc_str_dup(judge, order->service);
	judge->order.target = gc_str_dup(judge, order->target);
	judge->created = now;
	judge->elapsed_ms = elapsed_ms;
	return judge;
}

void gc_rollout_judge_add_report(gc_rollout_judge_t *judge, struct timespec now,
				 const gc_rollout_report_t *report)
{
	size_t i = 0;

	find_daemon(report->daemon)->elapsed_ms = report->elapsed_ms;
	if (report->order != judge->order.id)
		return;
	while (judge->daemons[i] != 0 && judge->daemons[i] != report->daemon)
		i++;
	judge->daemons[i] = report->daemon;
	judge->n_failed[i] =
		report->n_counts > 0 ? report->counts[0].n_failed : 0;
}

const gc_rollout_record_t *
gc_rollout_judge_decide(gc_rollout_judge_t *judge, struct timespec now,
			const gc_rollout_fleet_t *fleet,
			const gc_rollout_record_t *record)
{
	bool begun = record && record->order == judge->order.id;
	int64_t elapsed_ms =
		judge->elapsed_ms + gc_ms_between(judge->created, now);
	uint32_t n_failed = 0;

	ck_assert(fleet->service_known);
	ck_assert_uint_eq(fleet->n_able, fleet->n_daemons);
	if (begun && record->state != GC_ROLLOUT_RUNNING)
		return NULL;
	for (size_t i = 0; i < N_DAEMONS; i++)
		n_failed += judge->n_failed[i];
	judge->record = (gc_rollout_record_t){
		.service = judge->order.service,
		.target = judge->order.target,
		.reason = GC_STR_EMPTY,
		.order = judge->order.id,
		.duration_ms = judge->order.duration_ms,
		.share = 0.08,
		.barred = judge->barred,
	};
	if (n_failed >= BAD_ANSWERS) {
		judge->record.state = GC_ROLLOUT_ROLLED_BACK;
		judge->record.reason = GC_STR_LIT("bad answers");
		judge->barred[judge->record.n_barred++] = judge->order.target;
	} else if (elapsed_ms >= judge->order.duration_ms * 85 / 100) {
		judge->record.state = GC_ROLLOUT_SUCCEEDED;
		judge->barred[judge->record.n_barred++] = GC_STR_LIT("v1");
	} else if (begun) {
		return NULL;
	}
	return &judge->record;
}

/* The store. */

static void fake_put_if(void *store, gc_str_t key, gc_str_t value,
			uint64_t expected, gc_store_done_t done, void *ctx)
{
	write_call_t *call = talloc_zero(world.mem, write_call_t);
	write_call_t **at = &world.writes;

	ck_assert(gc_str_eq(key, GC_STR_LIT(RECORD_KEY)));
	for (; *at; at = &(*at)->next)
		ck_assert_ptr_ne((*at)->daemon, store);
	call->daemon = store;
	call->value = talloc_strndup(call, value.data, value.len);
	call->expected = expected;
	call->done = done;
	call->ctx = ctx;
	world.n_writes++;
	*at = call;
}

static const gc_store_ops_t store_ops = {.put_if = fake_put_if};

static void deliver(const char *key, const stored_t *item, bool deleted,
		    bool listed)
{
	gc_store_item_t change = {
		.key = gc_str(key),
		.value = gc_str(item->value),
		.revision = item->revision,
		.deleted = deleted,
	};

	for (size_t i = 0; i < N_DAEMONS; i++)
		if (!world.daemons[i].dead && !world.daemons[i].cut_off)
			ck_assert(gc_rollouts_apply_item(
				world.daemons[i].rollouts, &change, listed));
}

static void put(const char *key, stored_t *item, const char *value)
{
	item->value = talloc_strdup(world.mem, value);
	item->revision = ++world.revision;
	deliver(key, item, false, false);
}

static void delete_order(void)
{
	world.order = (stored_t){NULL, ++world.revision};
	deliver(ORDER_KEY, &world.order, true, false);
}

static void read_stored(TALLOC_CTX *mem, gc_rollout_record_t *record)
{
	ck_assert_ptr_nonnull(world.record.value);
	ck_assert(gc_platform_adapter.read_rollout_record(
		mem, GC_STR_LIT("app"), gc_str(world.record.value), record,
		NULL));
}

/* A decision that is stored stays, for its order. */
static void check_decision(const char *value)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollout_record_t former;
	gc_rollout_record_t next;

	ck_assert(gc_platform_adapter.read_rollout_record(
		mem, GC_STR_LIT("app"), gc_str(value), &next, NULL));
	if (world.record.value) {
		read_stored(mem, &former);
		if (former.order == next.order &&
		    former.state != GC_ROLLOUT_RUNNING)
			ck_assert_int_eq(next.state, former.state);
	}
	if (next.state != GC_ROLLOUT_RUNNING &&
	    next.order != world.decided_order) {
		world.n_decisions++;
		world.decided_order = next.order;
	}
	talloc_free(mem);
}

static void answer_write(write_call_t *call)
{
	GError *err = NULL;
	bool done = false;

	if (world.busy || call->daemon->cut_off) {
		gc_error_set(&err, GC_ERR_UNAVAILABLE, "put", "store", "busy");
	} else if (call->expected !=
		   (world.record.value ? world.record.revision : 0)) {
		world.n_conflicts++;
		gc_error_set(&err, GC_ERR_CONFLICT, "put", "store", "another");
	} else {
		check_decision(call->value);
		world.record.value = talloc_strdup(world.mem, call->value);
		world.record.revision = ++world.revision;
		done = true;
	}
	if (!call->daemon->dead)
		call->done(call->ctx, 0, world.era, err);
	if (done)
		deliver(RECORD_KEY, &world.record, false, false);
	g_clear_error(&err);
	talloc_free(call);
}

/* The daemons. */

static struct timespec fake_now(void *ctx)
{
	return unit_at(world.now_ms);
}

static void on_record(void *ctx, const gc_rollout_record_t *record)
{
	daemon_t *daemon = ctx;
	gc_rollout_record_t *former = daemon->record;

	if (former && former->order == record->order &&
	    former->state != GC_ROLLOUT_RUNNING &&
	    record->state == GC_ROLLOUT_RUNNING)
		daemon->n_backwards++;
	daemon->record = gc_rollout_record_copy(world.mem, record);
}

static void on_era(void *ctx, uint64_t era)
{
}

static void start_daemon(daemon_t *daemon)
{
	gc_rollouts_conf_t conf = {
		.clock = &world.clock,
		.random = &world.random,
		.store = {&store_ops, daemon},
		.adapter = &gc_platform_adapter,
		.self = gc_str(daemon->name),
		.limits = {0.1, 50, 5000},
		.record_changed = on_record,
		.era_seen = on_era,
		.ctx = daemon,
	};

	daemon->dead = false;
	daemon->record = NULL;
	daemon->rollouts = gc_rollouts_create(world.mem, &conf);
	gc_rollouts_set_era(daemon->rollouts, world.era);
	if (world.order.value)
		gc_rollouts_apply_item(
			daemon->rollouts,
			&(gc_store_item_t){.key = GC_STR_LIT(ORDER_KEY),
					   .value = gc_str(world.order.value),
					   .revision = world.order.revision},
			true);
	if (world.record.value)
		gc_rollouts_apply_item(
			daemon->rollouts,
			&(gc_store_item_t){.key = GC_STR_LIT(RECORD_KEY),
					   .value = gc_str(world.record.value),
					   .revision = world.record.revision},
			true);
	gc_rollouts_set_view(daemon->rollouts, world.view);
}

static void kill_daemon(daemon_t *daemon)
{
	daemon->dead = true;
	/* The calls of the store may still be answered. */
	for (struct gc_timer *timer = world.timers; timer; timer = timer->next)
		if (talloc_is_parent(timer, daemon->rollouts))
			timer->due_ms = -1;
}

static gc_fleet_view_t *create_view(void)
{
	gc_registry_t *servers = gc_registry_create(world.mem, 0);
	gc_registry_t *daemons = gc_registry_create(world.mem, 0);
	gc_routes_t *routes = gc_routes_create(1);
	gc_route_service_t service = {.name = GC_STR_LIT("app")};
	gc_fleet_view_t *view;

	gc_routes_add_service(routes, &service);
	gc_registry_put(servers, &(gc_registry_entry_t){
					 .id = GC_STR_LIT("s1"),
					 .service = GC_STR_LIT("app"),
					 .version = GC_STR_LIT("v1"),
				 });
	for (size_t i = 0; i < N_DAEMONS; i++)
		gc_registry_put(daemons,
				&(gc_registry_entry_t){
					.id = gc_str(world.daemons[i].name),
					.peer_address = gc_str(
						world.daemons[i].address),
					.capabilities = GC_CAN_ROLL_OUT,
				});
	view = gc_fleet_view_create(routes, servers, daemons, NULL, 0);
	gc_routes_unref(routes);
	return view;
}

static void start(void)
{
	memset(&world, 0, sizeof(world));
	world.mem = talloc_new(NULL);
	world.clock = (gc_clock_t){fake_now, fake_now, NULL};
	world.random = (gc_random_t){unit_next_random, &world.seed};
	world.era = 1;
	for (int i = 0; i < N_DAEMONS; i++) {
		daemon_t *daemon = &world.daemons[i];

		g_snprintf(daemon->name, sizeof(daemon->name), "d%d", i + 1);
		g_snprintf(daemon->address, sizeof(daemon->address),
			   "127.0.0.1:%d", i + 1);
	}
	world.view = create_view();
	for (size_t i = 0; i < N_DAEMONS; i++)
		start_daemon(&world.daemons[i]);
}

static void finish(void)
{
	for (size_t i = 0; i < N_DAEMONS; i++)
		ck_assert_uint_eq(world.daemons[i].n_backwards, 0);
	gc_fleet_view_unref(world.view);
	talloc_free(world.mem);
}

/* The traffic threads count that many bad answers of the target in all. */
static void report_counts(void)
{
	for (size_t i = 0; i < N_DAEMONS; i++) {
		daemon_t *daemon = &world.daemons[i];
		gc_rollout_counts_t counts = {
			.target = true,
			.n = daemon->n_failed,
			.n_failed = daemon->n_failed,
		};
		gc_rollout_report_t report = {.counts = &counts, .n_counts = 1};

		if (daemon->dead || !daemon->record)
			continue;
		report.order = daemon->record->order;
		gc_rollouts_report(daemon->rollouts, GC_STR_LIT("app"),
				   &report);
	}
}

static void fire_timers(void)
{
	struct gc_timer *timer = world.timers;

	while (timer) {
		if (timer->due_ms < 0 || timer->due_ms > world.now_ms) {
			timer = timer->next;
			continue;
		}
		timer->due_ms = -1;
		timer->fn(timer->ctx);
		timer = world.timers;
	}
}

static void run(int64_t ms)
{
	for (int64_t end = world.now_ms + ms; world.now_ms < end;) {
		struct gc_http_call *call = world.calls;
		write_call_t *write = world.writes;

		world.now_ms += STEP_MS;
		report_counts();
		fire_timers();
		if (call) {
			world.calls = call->next;
			answer_call(call);
		}
		if (write && !world.slow) {
			world.writes = write->next;
			answer_write(write);
		}
	}
}

static daemon_t *judge_at(size_t position)
{
	gc_issuers_t *issuers =
		gc_issuers_create(world.mem, &world.clock, GC_CAN_ROLL_OUT);
	const gc_registry_entry_t *entry;
	daemon_t *daemon = NULL;

	gc_issuers_set_view(issuers, world.view);
	entry = gc_issuers_find(issuers, XXH64("app", 3, 0), position);
	for (size_t i = 0; i < N_DAEMONS; i++)
		if (gc_str_eq(entry->id, gc_str(world.daemons[i].name)))
			daemon = &world.daemons[i];
	talloc_free(issuers);
	return daemon;
}

static void check_stored(gc_rollout_state_t state, const char *target,
			 const char *reason)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollout_record_t record;

	read_stored(mem, &record);
	ck_assert_int_eq(record.state, state);
	ck_assert_str_eq(record.target.data, target);
	ck_assert_ptr_nonnull(strstr(record.reason.data, reason));
	talloc_free(mem);
}

/* In the store and in force at all daemons. */
static void check_state(gc_rollout_state_t state, const char *target,
			const char *reason)
{
	check_stored(state, target, reason);
	for (size_t i = 0; i < N_DAEMONS; i++) {
		const gc_rollout_record_t *in_force = world.daemons[i].record;

		if (world.daemons[i].dead)
			continue;
		ck_assert_ptr_nonnull(in_force);
		ck_assert_int_eq(in_force->state, state);
		ck_assert_str_eq(in_force->target.data, target);
	}
}

/* Of the record in the store. */
static bool is_barred(const char *version)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollout_record_t record;
	bool barred;

	read_stored(mem, &record);
	barred = gc_rollout_is_barred(&record, gc_str(version));
	talloc_free(mem);
	return barred;
}

/* An order got no record, or each daemon wrote one. */
START_TEST(test_order_to_decision)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(100);
	check_state(GC_ROLLOUT_RUNNING, "v2", "");
	ck_assert_uint_eq(world.n_writes, 1);
	run(10000);
	check_state(GC_ROLLOUT_RUNNING, "v2", "");
	for (size_t i = 0; i < N_DAEMONS; i++)
		ck_assert_int_ge(world.daemons[i].elapsed_ms, 9000);
	run(1500);
	check_state(GC_ROLLOUT_SUCCEEDED, "v2", "");
	ck_assert_uint_eq(world.n_writes, 2);
	run(20000);
	ck_assert_uint_eq(world.n_writes, 2);
	ck_assert_uint_eq(world.n_decisions, 1);
	finish();
}
END_TEST

/* The bad answers of one daemon alone were too few for a roll-back. */
START_TEST(test_counts_of_all_daemons)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(2000);
	for (size_t i = 0; i < N_DAEMONS; i++)
		world.daemons[i].n_failed = 17;
	run(1500);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
	ck_assert(is_barred("v2"));
	finish();
}
END_TEST

/* Two daemons judged, and the later record replaced the first one. */
START_TEST(test_conflict_with_another_judge)
{
	start();
	judge_at(0)->unreachable = true;
	world.slow = true;
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	ck_assert_uint_ge(world.n_writes, 2);
	world.slow = false;
	run(100);
	check_state(GC_ROLLOUT_RUNNING, "v2", "");
	ck_assert_uint_ge(world.n_conflicts, 1);
	for (size_t i = 0; i < N_DAEMONS; i++)
		world.daemons[i].n_failed = BAD_ANSWERS;
	world.slow = true;
	run(1500);
	world.slow = false;
	run(100);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
	ck_assert_uint_ge(world.n_conflicts, 2);
	run(12000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
	ck_assert_uint_eq(world.n_decisions, 1);
	ck_assert_uint_eq(world.revision, 3);
	finish();
}
END_TEST

/* The store has another judge's decision, which the conflict of the own one shows. */
START_TEST(test_decision_of_the_store_counts)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollout_record_t record;
	char *value;

	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	world.busy = true;
	judge_at(0)->n_failed = BAD_ANSWERS;
	run(2000);
	for (size_t i = 0; i < N_DAEMONS; i++)
		ck_assert_int_eq(world.daemons[i].record->state,
				 GC_ROLLOUT_ROLLED_BACK);
	read_stored(mem, &record);
	ck_assert_int_eq(record.state, GC_ROLLOUT_RUNNING);
	record.state = GC_ROLLOUT_SUCCEEDED;
	value = gc_platform_adapter.write_rollout_record(&record);
	put(RECORD_KEY, &world.record, value);
	g_free(value);
	world.busy = false;
	run(5000);
	check_state(GC_ROLLOUT_SUCCEEDED, "v2", "");
	talloc_free(mem);
	finish();
}
END_TEST

/* A daemon that the others report to, as they don't reach the first judge, did not judge
 * since it reaches that one itself. */
START_TEST(test_judge_of_the_others)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	judge_at(0)->unreachable = true;
	judge_at(0)->friend = judge_at(1);
	judge_at(2)->n_failed = BAD_ANSWERS;
	run(3000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
	finish();
}
END_TEST

/* The next judge began without the counts that the dead one had been told. */
START_TEST(test_next_judge_takes_over)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	for (size_t i = 0; i < N_DAEMONS; i++)
		world.daemons[i].n_failed = BAD_ANSWERS / 2;
	judge_at(0)->n_failed = 0;
	kill_daemon(judge_at(0));
	run(3000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
	finish();
}
END_TEST

/* The order itself got no record, as its judge was dead. */
START_TEST(test_dead_judge_at_the_order)
{
	start();
	kill_daemon(judge_at(0));
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(500);
	check_state(GC_ROLLOUT_RUNNING, "v2", "");
	finish();
}
END_TEST

/* A decision was lost as the store was busy, or the store was called without a pause. */
START_TEST(test_busy_store)
{
	unsigned int n_writes;

	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	world.busy = true;
	n_writes = world.n_writes;
	judge_at(1)->n_failed = BAD_ANSWERS;
	run(1500);
	/* Before the store knows, all daemons have stopped. */
	for (size_t i = 0; i < N_DAEMONS; i++)
		ck_assert_int_eq(world.daemons[i].record->state,
				 GC_ROLLOUT_ROLLED_BACK);
	run(18500);
	ck_assert_uint_ge(world.n_writes, n_writes + 3);
	ck_assert_uint_le(world.n_writes, n_writes + 10);
	world.busy = false;
	run(5000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
	finish();
}
END_TEST

/* A success came into force that the store did not have. */
START_TEST(test_success_waits_for_the_store)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	world.busy = true;
	run(15000);
	for (size_t i = 0; i < N_DAEMONS; i++)
		ck_assert_int_eq(world.daemons[i].record->state,
				 GC_ROLLOUT_RUNNING);
	world.busy = false;
	run(5000);
	check_state(GC_ROLLOUT_SUCCEEDED, "v2", "");
	finish();
}
END_TEST

/* The store goes back to the copy; each daemon lists it anew. */
static void restore(stored_t order, stored_t record, uint64_t revision)
{
	world.era++;
	world.order = order;
	world.record = record;
	world.revision = revision;
	for (size_t i = 0; i < N_DAEMONS; i++)
		gc_rollouts_set_era(world.daemons[i].rollouts, world.era);
	if (order.value)
		deliver(ORDER_KEY, &world.order, false, true);
	if (record.value)
		deliver(RECORD_KEY, &world.record, false, true);
}

/* A restored store had no decision any more, or the roll-out began anew. */
START_TEST(test_restore_keeps_the_decision)
{
	for (int with_order = 0; with_order < 2; with_order++) {
		stored_t order = {NULL, 0};
		stored_t record = {NULL, 0};
		uint64_t revision;

		start();
		revision = world.revision;
		put(ORDER_KEY, &world.order, ORDER_V2);
		run(1000);
		if (with_order) {
			order = world.order;
			record = world.record;
			revision = world.revision;
		}
		judge_at(0)->n_failed = BAD_ANSWERS;
		run(2000);
		check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
		restore(order, record, revision);
		run(1000);
		world.revision += 5;
		put(ORDER_KEY, &world.order, ORDER_V2);
		run(5000);
		check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
		ck_assert_uint_eq(world.n_decisions, 1);
		/* One that starts now knows no other order. */
		start_daemon(&world.daemons[0]);
		run(5000);
		check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
		ck_assert_uint_eq(world.n_decisions, 1);
		finish();
	}
}
END_TEST

/* The write's answer came from the store as it was before the restore. */
START_TEST(test_answer_of_an_older_era)
{
	write_call_t *write;

	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(10000);
	world.slow = true;
	run(1000);
	write = world.writes;
	ck_assert_ptr_nonnull(write);
	ck_assert_ptr_nonnull(strstr(write->value, "succeeded"));
	restore(world.order, world.record, world.revision);
	world.writes = write->next;
	write->done(write->ctx, 0, 1, NULL);
	ck_assert_int_eq(write->daemon->record->state, GC_ROLLOUT_RUNNING);
	world.slow = false;
	run(3000);
	check_state(GC_ROLLOUT_SUCCEEDED, "v2", "");
	finish();
}
END_TEST

/* A list has an order as it was before the second one, and the record of the second one:
 * the daemon wrote the first one's record again. */
START_TEST(test_list_that_is_no_snapshot)
{
	stored_t first;
	stored_t second;

	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	first = world.order;
	run(1000);
	put(ORDER_KEY, &world.order, ORDER_V3);
	second = world.order;
	run(1000);
	kill_daemon(judge_at(0));
	world.order = first;
	start_daemon(judge_at(0));
	world.order = second;
	run(2000);
	check_stored(GC_ROLLOUT_RUNNING, "v3", "");
	deliver(ORDER_KEY, &world.order, false, false);
	run(2000);
	check_state(GC_ROLLOUT_RUNNING, "v3", "");
	finish();
}
END_TEST

/* A roll-out that ran went on under its record, to its time limit. */
START_TEST(test_restore_while_running)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(6000);
	restore((stored_t){NULL, 0}, (stored_t){NULL, 0}, 0);
	run(1000);
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(3000);
	check_state(GC_ROLLOUT_RUNNING, "v2", "");
	run(1500);
	check_state(GC_ROLLOUT_SUCCEEDED, "v2", "");
	finish();
}
END_TEST

/* A daemon that started after the restore took the order as a new one: the decision was
 * lost if it was the judge, and the others never agreed with it. */
START_TEST(test_start_after_a_restore)
{
	for (size_t position = 0; position < N_DAEMONS; position++)
		for (int decided = 0; decided < 2; decided++) {
			start();
			put(ORDER_KEY, &world.order, ORDER_V2);
			run(2000);
			if (decided)
				judge_at(0)->n_failed = BAD_ANSWERS;
			run(2000);
			judge_at(0)->n_failed = 0;
			restore((stored_t){NULL, 0}, (stored_t){NULL, 0}, 0);
			world.record = (stored_t){NULL, 0};
			kill_daemon(judge_at(position));
			start_daemon(judge_at(position));
			world.revision += 40;
			put(ORDER_KEY, &world.order, ORDER_V2);
			run(5000);
			check_state(decided ? GC_ROLLOUT_ROLLED_BACK
					    : GC_ROLLOUT_RUNNING,
				    "v2", "");
			run(12000);
			check_state(decided ? GC_ROLLOUT_ROLLED_BACK
					    : GC_ROLLOUT_SUCCEEDED,
				    "v2", "");
			ck_assert_uint_eq(world.n_decisions, 1);
			finish();
		}
}
END_TEST

/* The copy's older order was carried out again. */
START_TEST(test_restore_with_an_older_order)
{
	stored_t order;
	stored_t record;

	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(12000);
	check_state(GC_ROLLOUT_SUCCEEDED, "v2", "");
	order = world.order;
	record = world.record;
	put(ORDER_KEY, &world.order, ORDER_V3);
	run(2000);
	check_state(GC_ROLLOUT_RUNNING, "v3", "");
	restore(order, record, world.revision - 2);
	run(1000);
	put(ORDER_KEY, &world.order, ORDER_V3);
	run(5000);
	check_state(GC_ROLLOUT_RUNNING, "v3", "");
	run(5000);
	check_state(GC_ROLLOUT_SUCCEEDED, "v3", "");
	finish();
}
END_TEST

/* Servers of the target that are there before the record got all their share. */
START_TEST(test_no_requests_before_the_record)
{
	start();
	world.busy = true;
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(3000);
	for (size_t i = 0; i < N_DAEMONS; i++) {
		const gc_rollout_record_t *record = world.daemons[i].record;

		ck_assert_ptr_nonnull(record);
		ck_assert_int_eq(record->state, GC_ROLLOUT_RUNNING);
		ck_assert_str_eq(record->target.data, "v2");
		ck_assert_double_eq(record->share, 0);
	}
	world.busy = false;
	run(5000);
	ck_assert_double_eq(world.daemons[0].record->share, 0.08);
	finish();
}
END_TEST

/* A daemon that starts between an order and its record dropped what was barred. */
START_TEST(test_start_before_the_record)
{
	const gc_rollout_record_t *record;

	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	judge_at(0)->n_failed = BAD_ANSWERS;
	run(2000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
	world.busy = true;
	put(ORDER_KEY, &world.order, ORDER_V3);
	kill_daemon(&world.daemons[0]);
	start_daemon(&world.daemons[0]);
	record = world.daemons[0].record;
	ck_assert_ptr_nonnull(record);
	ck_assert_str_eq(record->target.data, "v3");
	ck_assert_double_eq(record->share, 0);
	ck_assert(gc_rollout_is_barred(record, GC_STR_LIT("v2")));
	ck_assert(!gc_rollout_is_barred(record, GC_STR_LIT("v1")));
	finish();
}
END_TEST

/* The former target got requests on, or the former decision ended the new order. */
START_TEST(test_second_order)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(6000);
	put(ORDER_KEY, &world.order, ORDER_V3);
	for (size_t i = 0; i < N_DAEMONS; i++)
		ck_assert(gc_rollout_is_barred(world.daemons[i].record,
					       GC_STR_LIT("v2")));
	run(9000);
	check_state(GC_ROLLOUT_RUNNING, "v3", "");
	run(2500);
	check_state(GC_ROLLOUT_SUCCEEDED, "v3", "");
	finish();
}
END_TEST

/* The same order written again, without a restore, is a new one. */
START_TEST(test_same_order_again)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	judge_at(0)->n_failed = BAD_ANSWERS;
	run(2000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
	judge_at(0)->n_failed = 0;
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	check_state(GC_ROLLOUT_RUNNING, "v2", "");
	finish();
}
END_TEST

/* A target whose order was removed got requests on. */
START_TEST(test_removed_order)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	delete_order();
	run(1000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "removed");
	ck_assert(is_barred("v2"));
	run(12000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "removed");
	finish();
}
END_TEST

/* An order that was removed while no watch was open went on, as no list tells of it. */
START_TEST(test_order_that_a_list_lacks)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	for (size_t i = 0; i < G_N_ELEMENTS(world.daemons); i++) {
		gc_rollouts_begin_list(world.daemons[i].rollouts);
		gc_rollouts_end_list(world.daemons[i].rollouts);
	}
	run(1000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "removed");
	finish();
}
END_TEST

/* The removal of an order that is decided took the version back. */
START_TEST(test_removed_after_success)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(12000);
	delete_order();
	run(5000);
	check_state(GC_ROLLOUT_SUCCEEDED, "v2", "");
	finish();
}
END_TEST

/* An invalid order got no reason, or changed what was in force. */
START_TEST(test_invalid_orders)
{
	static const struct {
		const char *order;
		const char *target;
		const char *reason;
	} cases[] = {
		{"{\"service\":\"app\",\"target\":\"v3\"}", "v3",
		 "duration_s: missing or invalid"},
		{"{\"service\":\"other\",\"target\":\"v3\",\"duration_s\":9}",
		 "v3", "service: differs from the key"},
		{"{\"service\":\"app\",\"duration_s\":9}", "",
		 "target: missing or invalid"},
		{"no JSON", "", "byte"},
	};

	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(12000);
	check_state(GC_ROLLOUT_SUCCEEDED, "v2", "");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		put(ORDER_KEY, &world.order, cases[i].order);
		run(3000);
		check_state(GC_ROLLOUT_ROLLED_BACK, cases[i].target,
			    cases[i].reason);
		ck_assert(is_barred("v1"));
		ck_assert(!is_barred("v2"));
		/* It has no servers yet. */
		ck_assert(is_barred("v3"));
	}
	finish();
}
END_TEST

/* The judge starts with the invalid order: its record lacked what was barred before. */
START_TEST(test_start_with_an_invalid_order)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(12000);
	check_state(GC_ROLLOUT_SUCCEEDED, "v2", "");
	for (size_t i = 0; i < N_DAEMONS; i++)
		kill_daemon(&world.daemons[i]);
	put(ORDER_KEY, &world.order, "{\"service\":\"app\",\"target\":\"v3\"}");
	for (size_t i = 0; i < N_DAEMONS; i++)
		start_daemon(&world.daemons[i]);
	run(2000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v3", "duration_s");
	ck_assert(is_barred("v1"));
	ck_assert(!is_barred("v2"));
	finish();
}
END_TEST

/* The order names the version in force, which got no requests any more. */
START_TEST(test_invalid_order_for_the_version_in_force)
{
	start();
	put(ORDER_KEY, &world.order, "{\"service\":\"app\",\"target\":\"v1\"}");
	run(1000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v1", "duration_s");
	ck_assert(!is_barred("v1"));
	finish();
}
END_TEST

/* A daemon that starts halfway began the roll-out anew, or had no share. */
START_TEST(test_restarted_daemons)
{
	start();
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(2000);
	for (size_t i = 0; i < N_DAEMONS; i++) {
		kill_daemon(&world.daemons[i]);
		start_daemon(&world.daemons[i]);
		ck_assert_ptr_nonnull(world.daemons[i].record);
		ck_assert_double_eq(world.daemons[i].record->share, 0.08);
	}
	run(2000);
	check_state(GC_ROLLOUT_RUNNING, "v2", "");
	ck_assert_uint_eq(world.n_writes, 1);
	/* None saw when the order came. */
	for (size_t i = 0; i < N_DAEMONS; i++)
		ck_assert_int_eq(world.daemons[i].elapsed_ms, -1);
	finish();
}
END_TEST

/* A daemon without contact to the store went on although the others had decided. */
START_TEST(test_cut_off_daemon_is_told)
{
	daemon_t *cut_off;

	start();
	cut_off = judge_at(2);
	put(ORDER_KEY, &world.order, ORDER_V2);
	run(1000);
	cut_off->cut_off = true;
	judge_at(0)->n_failed = BAD_ANSWERS;
	run(2000);
	check_state(GC_ROLLOUT_ROLLED_BACK, "v2", "bad answers");
	finish();
}
END_TEST

START_TEST(test_bad_reports)
{
	start();
	ck_assert_ptr_null(gc_rollouts_peer_response(world.daemons[0].rollouts,
						     GC_STR_LIT("{}")));
	ck_assert(!gc_rollouts_apply_item(
		world.daemons[0].rollouts,
		&(gc_store_item_t){.key = GC_STR_LIT("op/config"),
				   .value = GC_STR_EMPTY},
		false));
	finish();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_order_to_decision,
		test_counts_of_all_daemons,
		test_conflict_with_another_judge,
		test_decision_of_the_store_counts,
		test_judge_of_the_others,
		test_next_judge_takes_over,
		test_dead_judge_at_the_order,
		test_busy_store,
		test_success_waits_for_the_store,
		test_restore_keeps_the_decision,
		test_answer_of_an_older_era,
		test_list_that_is_no_snapshot,
		test_restore_while_running,
		test_start_after_a_restore,
		test_restore_with_an_older_order,
		test_no_requests_before_the_record,
		test_start_before_the_record,
		test_second_order,
		test_same_order_again,
		test_removed_order,
		test_order_that_a_list_lacks,
		test_removed_after_success,
		test_invalid_orders,
		test_start_with_an_invalid_order,
		test_invalid_order_for_the_version_in_force,
		test_restarted_daemons,
		test_cut_off_daemon_is_told,
		test_bad_reports,
		NULL,
	};

	return unit_run("rollouts", tests);
}
