/*
 * A fleet of daemons at one brittle server, against the real issuer. Guards against
 * a server that falls over, or is used less than it could be, at some number of
 * daemons.
 */
#include <glib.h>

#include "core/clock.h"
#include "core/permits.h"
#include "core/places.h"
#include "regress/unit.h"

#define SLOTS	     4U
#define ROOM	     2U
#define BRITTLE	     6U
#define WORK_MS	     60
#define EVEN_WORK_MS 120 /* of all requests */
#define RUN_MS	     12000
#define MEASURE_MS   2000 /* from here on */
#define WAIT_MS	     37 /* of a request for a place */
#define RANK	     3
#define POLL_MS	     5
/* The targets: one fall, 0.9 of what the server can take. */
#define MAX_FALLS 1
#define MIN_USED  0.9
/* What is left of the time limit of a lookup of routed_brittle.t (1500 ms) when it has
 * left its first server (after 300 ms), less the time that a server takes (120 ms). */
#define MAX_BEGUN_MS 1080

typedef enum event_type {
	EVENT_ASK,
	EVENT_ANSWER,
	EVENT_REQUEST,
	EVENT_END,
	EVENT_REPLY,
} event_type_t;

typedef struct event {
	event_type_t type;
	int daemon;
	unsigned int life; /* of the daemon */
	bool turned_away;
	gc_place_ask_t ask;
	gc_place_answer_t answer;
} event_t;

typedef struct daemon {
	unsigned int life;
	uint64_t number;
	uint32_t in_flight;
	uint32_t got;
	uint32_t turned_away;
	bool asked;
	int64_t denied_until_ms;
	unsigned int denied_rank;
	int64_t told_ms;
	int64_t begun_ms; /* arrival of a request that may have run; 0: none */
	GQueue waiting; /* arrival in ms */
} daemon_t;

typedef struct load {
	int n_daemons;
	int overload; /* times what the server takes */
	bool even; /* all requests take the same time */
	int64_t kill_ms; /* interval at which a daemon dies, 0: none does */
	int64_t begun_ms; /* the same of requests that may have run */
} load_t;

typedef struct fleet {
	const load_t *load;
	gc_places_t *places;
	GRand *rand;
	daemon_t *daemons;
	GArray *events[RUN_MS + 1000]; /* by ms */
	int64_t now_ms;
	unsigned int running;
	GQueue queue; /* of daemon numbers */
	GQueue turned_away; /* times in ms */
	unsigned int falls;
	int64_t busy_ms;
	int64_t longest_begun_ms; /* wait of one that may have run */
} fleet_t;

static void at(fleet_t *fleet, int64_t delay_ms, event_t event)
{
	int64_t ms = fleet->now_ms + delay_ms;

	if (ms >= (int64_t)G_N_ELEMENTS(fleet->events))
		return;
	event.life = fleet->daemons[event.daemon].life;
	if (!fleet->events[ms])
		fleet->events[ms] = g_array_new(FALSE, FALSE, sizeof(event_t));
	g_array_append_val(fleet->events[ms], event);
}

/* One way between two hosts. */
static int64_t latency_ms(fleet_t *fleet)
{
	return g_rand_int_range(fleet->rand, 1, 3);
}

static unsigned int n_waiting(const daemon_t *daemon)
{
	return daemon->waiting.length + (daemon->begun_ms > 0);
}

static unsigned int rank(const daemon_t *daemon)
{
	return daemon->begun_ms > 0 ? GC_PERMIT_RANK_BEGUN : RANK;
}

static void ask(fleet_t *fleet, int d, uint32_t unused)
{
	daemon_t *daemon = &fleet->daemons[d];
	event_t event = {.type = EVENT_ASK, .daemon = d};

	event.ask = (gc_place_ask_t){
		.server = 1,
		.daemon = (uint64_t)d,
		.number = ++daemon->number,
		.brittle = BRITTLE,
		.brittle_at = unit_at(0),
		.part = 1,
		.slots = SLOTS,
		.held = daemon->in_flight + unused,
		.got = daemon->got,
		.turned_away = daemon->turned_away,
		.wanted = daemon->asked ? 0 : MIN(n_waiting(daemon), 8),
		.rank = rank(daemon),
	};
	daemon->turned_away = 0;
	daemon->asked |= event.ask.wanted > 0;
	daemon->told_ms = fleet->now_ms;
	at(fleet, latency_ms(fleet), event);
}

static void send_answer(fleet_t *fleet, int d, const gc_place_answer_t *answer)
{
	event_t event = {.type = EVENT_ANSWER, .daemon = d, .answer = *answer};

	at(fleet, latency_ms(fleet), event);
}

static void answer_waiting(fleet_t *fleet)
{
	gc_place_answer_t answer;
	daemon_t *daemon;

	while ((daemon = gc_places_next(fleet->places, unit_at(fleet->now_ms),
					&answer)))
		send_answer(fleet, (int)(daemon - fleet->daemons), &answer);
}

static void end_begun(fleet_t *fleet, daemon_t *daemon)
{
	fleet->longest_begun_ms =
		MAX(fleet->longest_begun_ms, fleet->now_ms - daemon->begun_ms);
	daemon->begun_ms = 0;
}

static void on_answer(fleet_t *fleet, const event_t *event)
{
	daemon_t *daemon = &fleet->daemons[event->daemon];
	uint32_t unused = event->answer.granted;

	if (event->answer.to_ask)
		daemon->asked = false;
	daemon->got += unused;
	daemon->denied_until_ms = fleet->now_ms + event->answer.wait_ms;
	daemon->denied_rank = event->answer.rank;
	for (; unused > 0 && n_waiting(daemon) > 0; unused--) {
		event_t request = {.type = EVENT_REQUEST,
				   .daemon = event->daemon};

		if (daemon->begun_ms > 0)
			end_begun(fleet, daemon);
		else
			g_queue_pop_head(&daemon->waiting);
		daemon->in_flight++;
		at(fleet, latency_ms(fleet), request);
	}
	if (unused > 0)
		ask(fleet, event->daemon, 0);
}

static void start_work(fleet_t *fleet, int d)
{
	event_t event = {.type = EVENT_END, .daemon = d};
	int64_t ms = fleet->load->even
			     ? EVEN_WORK_MS
			     : g_rand_int_range(fleet->rand, WORK_MS / 2,
						WORK_MS + WORK_MS / 2);

	fleet->running++;
	if (fleet->now_ms >= MEASURE_MS)
		fleet->busy_ms += MIN(ms, RUN_MS - fleet->now_ms);
	at(fleet, ms, event);
}

static void turn_away(fleet_t *fleet, int d)
{
	event_t reply = {.type = EVENT_REPLY, .daemon = d, .turned_away = true};
	GQueue *times = &fleet->turned_away;

	g_queue_push_tail(times, GINT_TO_POINTER((int)fleet->now_ms));
	while (GPOINTER_TO_INT(g_queue_peek_head(times)) <=
	       fleet->now_ms - 1000)
		g_queue_pop_head(times);
	if (times->length > BRITTLE) {
		fleet->falls++;
		g_queue_clear(times);
	}
	at(fleet, latency_ms(fleet), reply);
}

static void on_request(fleet_t *fleet, const event_t *event)
{
	if (fleet->running < SLOTS)
		start_work(fleet, event->daemon);
	else if (fleet->queue.length < ROOM)
		g_queue_push_tail(&fleet->queue,
				  GINT_TO_POINTER(event->daemon));
	else
		turn_away(fleet, event->daemon);
}

static void on_end(fleet_t *fleet, const event_t *event)
{
	event_t reply = {.type = EVENT_REPLY, .daemon = event->daemon};

	fleet->running--;
	if (fleet->queue.length > 0)
		start_work(fleet,
			   GPOINTER_TO_INT(g_queue_pop_head(&fleet->queue)));
	at(fleet, latency_ms(fleet), reply);
}

static void on_reply(fleet_t *fleet, const event_t *event)
{
	daemon_t *daemon = &fleet->daemons[event->daemon];

	daemon->in_flight--;
	daemon->turned_away += event->turned_away;
	ask(fleet, event->daemon, 0);
}

static void run_event(fleet_t *fleet, const event_t *event)
{
	bool dead = event->life != fleet->daemons[event->daemon].life;
	gc_place_answer_t answer;

	if (event->type == EVENT_ASK) {
		if (gc_places_ask(fleet->places, unit_at(fleet->now_ms),
				  &event->ask, &fleet->daemons[event->daemon],
				  &answer))
			send_answer(fleet, event->daemon, &answer);
		answer_waiting(fleet);
	} else if (event->type == EVENT_REQUEST) {
		on_request(fleet, event);
	} else if (event->type == EVENT_END) {
		on_end(fleet, event);
	} else if (event->type == EVENT_ANSWER && !dead) {
		on_answer(fleet, event);
	} else if (event->type == EVENT_REPLY && !dead) {
		on_reply(fleet, event);
	}
}

static void run_daemon(fleet_t *fleet, int d)
{
	daemon_t *daemon = &fleet->daemons[d];

	while (daemon->waiting.length > 0 &&
	       GPOINTER_TO_INT(g_queue_peek_head(&daemon->waiting)) <
		       fleet->now_ms - WAIT_MS)
		g_queue_pop_head(&daemon->waiting);
	if (n_waiting(daemon) > 0 && !daemon->asked &&
	    (daemon->denied_until_ms <= fleet->now_ms ||
	     rank(daemon) < daemon->denied_rank))
		ask(fleet, d, 0);
	if (daemon->in_flight > 0 &&
	    fleet->now_ms - daemon->told_ms >= GC_PLACES_REPORT_MS)
		ask(fleet, d, 0);
}

/* It starts again at once; what it sent goes on at the server. */
static void kill_daemon(fleet_t *fleet)
{
	int d = g_rand_int_range(fleet->rand, 0, fleet->load->n_daemons);
	daemon_t *daemon = &fleet->daemons[d];

	g_queue_clear(&daemon->waiting);
	gc_places_cancel(fleet->places, daemon);
	*daemon = (daemon_t){.life = daemon->life + 1,
			     .number = (uint64_t)fleet->now_ms * 10};
}

static void add_begun(fleet_t *fleet)
{
	daemon_t *daemon = &fleet->daemons[g_rand_int_range(
		fleet->rand, 0, fleet->load->n_daemons)];

	if (daemon->begun_ms == 0)
		daemon->begun_ms = fleet->now_ms;
}

/* True once in each interval. */
static bool is_due(const fleet_t *fleet, int64_t interval_ms)
{
	return interval_ms > 0 &&
	       fleet->now_ms % interval_ms == interval_ms - 1;
}

static fleet_t *run_fleet(const load_t *load)
{
	fleet_t *fleet = g_new0(fleet_t, 1);
	double rate = load->overload * (double)SLOTS /
		      (load->even ? EVEN_WORK_MS : WORK_MS);
	double due = 0;

	fleet->load = load;
	fleet->places = gc_places_create(NULL);
	fleet->rand = g_rand_new_with_seed(5);
	fleet->daemons = g_new0(daemon_t, load->n_daemons);
	for (; fleet->now_ms < RUN_MS; fleet->now_ms++) {
		GArray **events = &fleet->events[fleet->now_ms];

		due += rate;
		while (g_rand_double(fleet->rand) < due) {
			int d = g_rand_int_range(fleet->rand, 0,
						 load->n_daemons);

			due--;
			g_queue_push_tail(&fleet->daemons[d].waiting,
					  GINT_TO_POINTER((int)fleet->now_ms));
		}
		for (guint i = 0; *events && i < (*events)->len; i++) {
			event_t event = g_array_index(*events, event_t, i);

			run_event(fleet, &event);
		}
		for (int d = 0; d < load->n_daemons; d++)
			run_daemon(fleet, d);
		if (fleet->now_ms % POLL_MS == 0)
			answer_waiting(fleet);
		if (is_due(fleet, load->kill_ms))
			kill_daemon(fleet);
		if (is_due(fleet, load->begun_ms))
			add_begun(fleet);
	}
	return fleet;
}

static double used(const fleet_t *fleet)
{
	return (double)fleet->busy_ms / SLOTS / (RUN_MS - MEASURE_MS);
}

static void free_fleet(fleet_t *fleet)
{
	for (size_t ms = 0; ms < G_N_ELEMENTS(fleet->events); ms++)
		if (fleet->events[ms])
			g_array_unref(fleet->events[ms]);
	for (int d = 0; d < fleet->load->n_daemons; d++)
		g_queue_clear(&fleet->daemons[d].waiting);
	g_queue_clear(&fleet->queue);
	g_queue_clear(&fleet->turned_away);
	g_rand_free(fleet->rand);
	talloc_free(fleet->places);
	g_free(fleet->daemons);
	g_free(fleet);
}

START_TEST(test_overload)
{
	static const int n_daemons[] = {1, 4, 15, 95, 300};
	static const int overloads[] = {2, 5};

	for (size_t i = 0; i < G_N_ELEMENTS(n_daemons); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(overloads); j++) {
			const load_t load = {.n_daemons = n_daemons[i],
					     .overload = overloads[j]};
			fleet_t *fleet = run_fleet(&load);

			ck_assert_msg(fleet->falls <= MAX_FALLS,
				      "%d daemons, load %d: %u falls",
				      n_daemons[i], overloads[j], fleet->falls);
			ck_assert_msg(used(fleet) >= MIN_USED,
				      "%d daemons, load %d: %.3f used",
				      n_daemons[i], overloads[j], used(fleet));
			free_fleet(fleet);
		}
	}
}
END_TEST

/* A daemon that starts again knows nothing of what it sent before. */
START_TEST(test_daemons_die)
{
	const load_t load = {.n_daemons = 15, .overload = 2, .kill_ms = 500};
	fleet_t *fleet = run_fleet(&load);

	ck_assert_uint_le(fleet->falls, MAX_FALLS);
	free_fleet(fleet);
}
END_TEST

/* The longest that one waited, or still waits at the end. */
static int64_t longest_begun_ms(const fleet_t *fleet)
{
	int64_t longest = fleet->longest_begun_ms;

	for (int d = 0; d < fleet->load->n_daemons; d++)
		if (fleet->daemons[d].begun_ms > 0)
			longest =
				MAX(longest,
				    fleet->now_ms - fleet->daemons[d].begun_ms);
	return longest;
}

/* Places come free all at once: an ask that waits for long after each denial misses
 * them. */
START_TEST(test_begun)
{
	static const int n_daemons[] = {4, 15, 95, 300};
	static const int overloads[] = {2, 5, 10, 15};

	for (size_t i = 0; i < G_N_ELEMENTS(n_daemons); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(overloads); j++) {
			const load_t load = {.n_daemons = n_daemons[i],
					     .overload = overloads[j],
					     .even = true,
					     .begun_ms = 250};
			fleet_t *fleet = run_fleet(&load);

			ck_assert_msg(longest_begun_ms(fleet) <= MAX_BEGUN_MS,
				      "%d daemons, load %d: %" G_GINT64_FORMAT
				      " ms",
				      n_daemons[i], overloads[j],
				      longest_begun_ms(fleet));
			ck_assert_uint_le(fleet->falls, MAX_FALLS);
			free_fleet(fleet);
		}
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_overload, test_daemons_die,
				      test_begun, NULL};

	return unit_run("places_fleet", tests);
}
