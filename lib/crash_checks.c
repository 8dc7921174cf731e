/* Tells crashes of servers from other losses of connections. */
#include <glib.h>

#include "lib/backend_query.h"
#include "lib/crash_checks.h"
#include "lib/log.h"
#include "lib/log_events.h"

/* Time for the load report of a server. */
#define QUERY_TIMEOUT_MS 300
/* Servers that are asked whether this daemon reaches any: of the same service,
 * and of others. */
#define MAX_ASKED     4
#define MAX_ELSEWHERE 2
/* Servers that are lost within this time may have been cut off together. */
#define SIMULTANEOUS_MS 100
/* A store that confirmed its state so recently can be reached. */
#define STORE_CONFIRMED_MS 1500
/* How long a new start of a lost server is taken for its crash. */
#define UNDECIDED_MS 15000
/* The same for a server that responds at a claim: one that has started again does so
 * before its new entry has come. */
#define CLAIM_UNDECIDED_MS 2000
/* Losses that are remembered, to find simultaneous ones. */
#define MAX_RECENT 32

typedef struct check {
	gc_crash_checks_t *checks;
	struct check *prev, *next;
	gc_str_t service;
	gc_backend_t *server;
	GArray *losses; /* of gc_crash_loss_t */
	struct timespec started;
	bool resent; /* a request had lost another server before */
	bool asks_others; /* not only the server itself */
	/* Others that are asked one after another until one reports. */
	gc_backend_t *asked[MAX_ASKED + MAX_ELSEWHERE];
	size_t n_asked;
	size_t n_elsewhere; /* of these, servers of other services */
	bool asked_again;
	bool server_reported;
	bool other_reported; /* of the same service */
	bool elsewhere_reported;
	uint64_t token; /* of the question to other daemons; 0: none */
	gc_witness_verdict_t verdict;
	bool undecided; /* settled, but its server may turn out to have crashed */
	unsigned int n_pending; /* queries */
	gc_timer_t *timer; /* waits for simultaneous losses, or a new start */
} check_t;

typedef struct recent {
	uint64_t server;
	struct timespec at;
	bool resent;
} recent_t;

struct gc_crash_checks {
	gc_crash_checks_conf_t conf;
	check_t *first; /* in progress or undecided */
	uint64_t last_token;
	recent_t recent[MAX_RECENT]; /* ring */
	size_t next_recent;
};

static check_t *find_check(gc_crash_checks_t *checks,
			   const gc_backend_t *server);
static check_t *start_check(gc_crash_checks_t *checks, gc_str_t service,
			    gc_backend_t *server);
static int check_destructor(check_t *check);
static void add_recent(gc_crash_checks_t *checks,
		       const gc_crash_report_t *report);
static bool ask_other(check_t *check);
static void query_load(check_t *check, gc_backend_t *server,
		       void (*done)(void *ctx, int status, gc_str_t response,
				    gc_attempt_end_t end));
static void on_server_report(void *ctx, int status, gc_str_t response,
			     gc_attempt_end_t end);
static void on_other_report(void *ctx, int status, gc_str_t response,
			    gc_attempt_end_t end);
static void ask_others(check_t *check);
static bool ask_witness(check_t *check);
static void end_query(check_t *check);
static void end_witnessed(check_t *check);
static void leave_undecided(check_t *check, int64_t ms);
static void log_check(const check_t *check);
static void on_timer(void *ctx);
static bool is_store_reached(const check_t *check);
static bool is_simultaneous(const check_t *check);
static void settle(check_t *check, bool crashed);

gc_crash_checks_t *gc_crash_checks_create(TALLOC_CTX *mem,
					  const gc_crash_checks_conf_t *conf)
{
	gc_crash_checks_t *checks = talloc_zero(mem, gc_crash_checks_t);

	checks->conf = *conf;
	return checks;
}

void gc_crash_checks_add(gc_crash_checks_t *checks, gc_str_t service,
			 gc_backend_t *server, const gc_crash_report_t *report,
			 gc_str_t request)
{
	check_t *check = find_check(checks, server);
	gc_crash_loss_t loss = {
		.report = *report,
		.request = g_strndup(request.data, request.len),
	};

	add_recent(checks, report);
	if (!check)
		check = start_check(checks, service, server);
	if (!check->asks_others)
		ask_others(check);
	check->resent |= report->resent;
	g_array_append_val(check->losses, loss);
}

/* Most claims are those of a daemon that is cut off, and the server responds. */
void gc_crash_checks_add_claim(gc_crash_checks_t *checks, gc_str_t service,
			       gc_backend_t *server,
			       const gc_crash_report_t *report,
			       uint64_t revision)
{
	check_t *check = find_check(checks, server);
	gc_crash_loss_t loss = {.report = *report, .revision = revision};

	if (!check)
		check = start_check(checks, service, server);
	g_array_append_val(check->losses, loss);
}

static check_t *find_check(gc_crash_checks_t *checks,
			   const gc_backend_t *server)
{
	for (check_t *check = checks->first; check; check = check->next)
		if (check->server == server && !check->undecided)
			return check;
	return NULL;
}

static check_t *start_check(gc_crash_checks_t *checks, gc_str_t service,
			    gc_backend_t *server)
{
	check_t *check = talloc_zero(checks, check_t);

	check->checks = checks;
	check->service = gc_str_dup(check, service);
	check->server = gc_backend_ref(server);
	check->losses = g_array_new(FALSE, FALSE, sizeof(gc_crash_loss_t));
	check->started = gc_clock_now(checks->conf.clock);
	check->timer =
		gc_timer_create(check, checks->conf.timers, on_timer, check);
	check->next = checks->first;
	if (checks->first)
		checks->first->prev = check;
	checks->first = check;
	talloc_set_destructor(check, check_destructor);
	query_load(check, check->server, on_server_report);
	return check;
}

static void ask_others(check_t *check)
{
	check->asks_others = true;
	if (!ask_witness(check))
		ask_other(check);
}

static bool ask_witness(check_t *check)
{
	gc_crash_checks_t *checks = check->checks;

	check->token = ++checks->last_token;
	if (!checks->conf.ask_witness(checks->conf.ctx, check->token,
				      gc_backend_incarnation(check->server))) {
		check->token = 0;
		return false;
	}
	check->n_pending++;
	return true;
}

void gc_crash_checks_add_verdict(gc_crash_checks_t *checks, uint64_t token,
				 gc_witness_verdict_t verdict)
{
	check_t *check = checks->first;

	while (check && check->token != token)
		check = check->next;
	if (!check)
		return;
	check->verdict = verdict;
	end_query(check);
}

static int check_destructor(check_t *check)
{
	if (check->prev)
		check->prev->next = check->next;
	else
		check->checks->first = check->next;
	if (check->next)
		check->next->prev = check->prev;
	gc_backend_unref(check->server);
	for (size_t i = 0; i < check->n_asked; i++)
		gc_backend_unref(check->asked[i]);
	for (guint i = 0; i < check->losses->len; i++)
		g_free(g_array_index(check->losses, gc_crash_loss_t, i)
			       .request);
	g_array_unref(check->losses);
	return 0;
}

static void add_recent(gc_crash_checks_t *checks,
		       const gc_crash_report_t *report)
{
	checks->recent[checks->next_recent] = (recent_t){
		.server = report->server,
		.at = gc_clock_now(checks->conf.clock),
		.resent = report->resent,
	};
	checks->next_recent = (checks->next_recent + 1) % MAX_RECENT;
}

/* False if there is no other server left to ask. */
static bool ask_other(check_t *check)
{
	const gc_crash_checks_conf_t *conf = &check->checks->conf;
	struct timespec now = gc_clock_now(conf->clock);
	gc_backend_t *avoided[G_N_ELEMENTS(check->asked) + 1] = {check->server};
	gc_backend_set_t avoid = {.list = avoided, .n = check->n_asked + 1};
	gc_backend_t *other = NULL;

	for (size_t i = 0; i < check->n_asked; i++)
		avoided[i + 1] = check->asked[i];
	if (check->n_elsewhere == 0 && check->n_asked < MAX_ASKED)
		other = gc_backends_choose(conf->backends, now, check->service,
					   &avoid);
	if (!other && check->n_elsewhere < MAX_ELSEWHERE) {
		other = gc_backends_choose_elsewhere(conf->backends, now,
						     check->service, &avoid);
		check->n_elsewhere += other != NULL;
	}
	if (!other)
		return false;
	check->asked[check->n_asked++] = gc_backend_ref(other);
	query_load(check, other, on_other_report);
	return true;
}

static void query_load(check_t *check, gc_backend_t *server,
		       void (*done)(void *ctx, int status, gc_str_t response,
				    gc_attempt_end_t end))
{
	const gc_crash_checks_conf_t *checks_conf = &check->checks->conf;
	gc_backend_query_conf_t conf = {
		.upstream = checks_conf->upstream,
		.timers = checks_conf->timers,
		.method = "GET",
		.path = checks_conf->adapter->load_path,
		.load_of = checks_conf->adapter,
		.body = GC_STR_EMPTY,
		.timeout_ms = QUERY_TIMEOUT_MS,
		.done = done,
		.ctx = check,
	};

	check->n_pending++;
	gc_backend_query_start(check->checks, &conf, server);
}

static void on_server_report(void *ctx, int status, gc_str_t response,
			     gc_attempt_end_t end)
{
	check_t *check = ctx;

	/* It may have gone out on a connection that the server reset together
	 * with the request's. */
	if (status == 0 && end == GC_END_BROKEN && !check->asked_again) {
		check->asked_again = true;
		check->n_pending--;
		query_load(check, check->server, on_server_report);
		return;
	}
	check->server_reported = status != 0;
	end_query(check);
}

static void on_other_report(void *ctx, int status, gc_str_t response,
			    gc_attempt_end_t end)
{
	check_t *check = ctx;

	if (status != 0) {
		check->other_reported |= check->n_elsewhere == 0;
		check->elsewhere_reported |= check->n_elsewhere > 0;
	} else {
		gc_backend_record_failure(
			check->asked[check->n_asked - 1],
			gc_clock_now(check->checks->conf.clock), end);
		ask_other(check);
	}
	end_query(check);
}

static void end_query(check_t *check)
{
	int64_t left_ms;

	if (--check->n_pending > 0)
		return;
	if (!check->asks_others && check->server_reported) {
		leave_undecided(check, CLAIM_UNDECIDED_MS);
		return;
	}
	if (!check->asks_others) {
		/* Keeps the check if an answer comes at once. */
		check->n_pending++;
		ask_others(check);
		end_query(check);
		return;
	}
	if (check->token != 0) {
		end_witnessed(check);
		return;
	}
	/* Without another server nothing speaks against a crash. */
	if (check->server_reported || check->other_reported ||
	    check->n_asked == 0) {
		settle(check, !check->server_reported);
		return;
	}
	left_ms = SIMULTANEOUS_MS -
		  gc_ms_between(check->started,
				gc_clock_now(check->checks->conf.clock));
	gc_timer_set(check->timer, MAX(left_ms, 0));
}

/*
 * What this daemon reaches itself says nothing about a server, as any of its
 * links may have failed.
 */
static void end_witnessed(check_t *check)
{
	log_check(check);
	if (check->server_reported || check->verdict == GC_WITNESS_REACHED) {
		settle(check, false);
		return;
	}
	if (check->verdict == GC_WITNESS_LOST) {
		settle(check, true);
		return;
	}
	leave_undecided(check, UNDECIDED_MS);
}

/* Doesn't count unless the server turns out to have started again. */
static void leave_undecided(check_t *check, int64_t ms)
{
	const gc_crash_checks_conf_t *conf = &check->checks->conf;

	check->undecided = true;
	gc_timer_set(check->timer, ms);
	conf->settled(conf->ctx, check->server, false,
		      (const gc_crash_loss_t *)check->losses->data,
		      check->losses->len);
}

static void log_check(const check_t *check)
{
	static const char *const verdicts[] = {
		[GC_WITNESS_NONE] = "unknown",
		[GC_WITNESS_REACHED] = "reached",
		[GC_WITNESS_LOST] = "lost",
	};

	gc_log(GC_LOG_INFO, GC_EVENT_LOSS_CHECKED, "lost server checked",
	       "server", gc_backend_id(check->server).data, "reported",
	       check->server_reported ? "yes" : "no", "others",
	       verdicts[check->verdict], NULL);
}

void gc_crash_checks_record_alive(gc_crash_checks_t *checks,
				  struct timespec sent,
				  const gc_backend_t *server)
{
	check_t *next;

	for (check_t *check = checks->first; check; check = next) {
		next = check->next;
		if (check->undecided && check->server == server &&
		    gc_us_between(check->started, sent) > 0)
			talloc_free(check);
	}
}

bool gc_crash_checks_is_undecided(const gc_crash_checks_t *checks,
				  struct timespec sent,
				  const gc_backend_t *server)
{
	for (const check_t *check = checks->first; check; check = check->next)
		if (check->undecided && check->server == server &&
		    gc_us_between(check->started, sent) > 0)
			return true;
	return false;
}

void gc_crash_checks_servers_changed(gc_crash_checks_t *checks)
{
	check_t *next;

	for (check_t *check = checks->first; check; check = next) {
		next = check->next;
		if (check->undecided &&
		    gc_backends_has_successor(checks->conf.backends,
					      check->server))
			settle(check, true);
	}
}

/*
 * The only daemon, and no other server of the service reports: all may have
 * crashed one after the other, or this daemon may be cut off from them.
 */
static void on_timer(void *ctx)
{
	check_t *check = ctx;

	if (check->undecided) {
		talloc_free(check);
		return;
	}

	settle(check, (check->elsewhere_reported || is_store_reached(check)) &&
			      !is_simultaneous(check));
}

static bool is_store_reached(const check_t *check)
{
	const gc_crash_checks_conf_t *conf = &check->checks->conf;
	int64_t age_ms =
		gc_confirmed_age_ms(conf->confirmed, gc_clock_now(conf->clock));

	return age_ms >= 0 && age_ms <= STORE_CONFIRMED_MS;
}

/* A request that came from a crash elsewhere was not lost together with it. */
static bool is_simultaneous(const check_t *check)
{
	const gc_crash_loss_t *loss =
		&g_array_index(check->losses, gc_crash_loss_t, 0);

	if (check->resent)
		return false;
	for (size_t i = 0; i < MAX_RECENT; i++) {
		const recent_t *recent = &check->checks->recent[i];
		int64_t ms = gc_ms_between(check->started, recent->at);

		if (recent->server != 0 && !recent->resent &&
		    recent->server != loss->report.server &&
		    ms >= -SIMULTANEOUS_MS && ms <= SIMULTANEOUS_MS)
			return true;
	}
	return false;
}

static void settle(check_t *check, bool crashed)
{
	const gc_crash_checks_conf_t *conf = &check->checks->conf;

	conf->settled(conf->ctx, check->server, crashed,
		      (const gc_crash_loss_t *)check->losses->data,
		      check->losses->len);
	talloc_free(check);
}
