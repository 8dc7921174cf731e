/*
 * Generated traffic of a service during a roll-out: daemons that split requests by the
 * record in force and report their counts, and a judge, which may be replaced. Used by
 * check_rollout_judge.c and prop_rollout.cc.
 */
#ifndef GC_REGRESS_ROLLOUT_LOAD_H
#define GC_REGRESS_ROLLOUT_LOAD_H

#include <math.h>
#include <stdio.h>

#include <talloc.h>

#include "core/clock.h"
#include "core/rollout.h"
#include "core/rollout_evidence.h"
#include "core/rollout_judge.h"

#define LOAD_MAX_DAEMONS 128
#define LOAD_MAX_ROUTES	 4
#define LOAD_MAX_RECORDS 64
/* Answers under way; more are counted at once. */
#define LOAD_MAX_PENDING 4096
#define LOAD_ORDER	 77
#define LOAD_STEP_MS	 10
/* Time of day at which the order is given. */
#define LOAD_STARTED_MS INT64_C(1700000000000)

typedef struct load_route {
	double part; /* of all requests */
	bool stream;
	double ms; /* median of the time to the answer or the first event */
} load_route_t;

typedef struct load_spec {
	double requests_per_s;
	load_route_t routes[LOAD_MAX_ROUTES];
	int n_routes;
	int n_daemons;
	int64_t duration_ms;
	gc_rollout_limits_t limits;
	double base_failures; /* rate of all versions */
	double spread; /* of the logarithm of times */
	/* The target from bad_from_ms on, on bad_route (-1: all). */
	double bad_failures;
	double bad_slow; /* part of the answers that are slower by bad_factor */
	double bad_factor;
	int64_t bad_from_ms;
	int bad_route;
	/* While it lasts, there are more requests, only of one route if burst_route is
	 * not -1, and all answers are slower. */
	int64_t burst_from_ms;
	int64_t burst_to_ms;
	double burst_requests;
	double burst_slow;
	int burst_route;
	int64_t new_judge_ms; /* 0: the judge is not replaced */
	double lost_reports; /* part of the reports */
	double restarts_per_s; /* of each daemon */
	int64_t max_lag_ms; /* until a daemon follows a record */
} load_spec_t;

typedef struct load_result {
	gc_rollout_state_t state;
	int64_t decided_ms; /* -1: not decided */
	uint64_t n_requests;
	uint64_t n_sent;
	uint64_t n_bad; /* failures and slow answers of the bad version */
	uint64_t n_bad_at_decision;
	double max_excess; /* of n_sent over share * n_requests + slack */
	int n_records;
	int n_changed_decisions;
	char reason[256];
} load_result_t;

typedef struct load_answer {
	int64_t at_ms;
	int daemon;
	uint32_t life; /* of the daemon */
	int route;
	gc_rollout_measure_t measure;
	bool target;
	bool failed;
	bool bad;
	double ms;
} load_answer_t;

typedef struct load_daemon {
	gc_rollout_evidence_t *evidence;
	uint32_t life;
	int64_t learned_ms; /* -1: it has restarted */
	int64_t report_ms; /* next report */
	int64_t lag_ms;
} load_daemon_t;

typedef struct load {
	const load_spec_t *spec;
	TALLOC_CTX *mem;
	uint64_t seed;
	int64_t now_ms;
	load_daemon_t daemons[LOAD_MAX_DAEMONS];
	gc_rollout_judge_t *judge;
	const gc_rollout_record_t *records[LOAD_MAX_RECORDS];
	int64_t written_ms[LOAD_MAX_RECORDS];
	int n_records;
	load_answer_t *pending;
	size_t n_pending;
	uint64_t next_request;
	load_result_t *result;
} load_t;

/* SplitMix64. */
static inline uint64_t load_random(load_t *load)
{
	uint64_t z = (load->seed += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/* From 0 to less than 1. */
static inline double load_uniform(load_t *load)
{
	return (double)(load_random(load) >> 11) * 0x1p-53;
}

static inline double load_normal(load_t *load)
{
	double u = 1 - load_uniform(load);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * load_uniform(load));
}

static inline struct timespec load_at(int64_t ms)
{
	struct timespec start = {5000, 0};

	return gc_add_ms(start, ms);
}

static inline uint64_t load_route_id(int route)
{
	char name[16];

	(void)snprintf(name, sizeof(name), "route%d", route);
	return gc_rollout_route_hash(gc_str(name));
}

static inline bool load_in_burst(const load_t *load)
{
	return load->now_ms >= load->spec->burst_from_ms &&
	       load->now_ms < load->spec->burst_to_ms;
}

/* The record that a daemon follows. */
static inline const gc_rollout_record_t *
load_record_of(const load_t *load, const load_daemon_t *daemon)
{
	for (int i = load->n_records; i-- > 0;)
		if (load->written_ms[i] + daemon->lag_ms <= load->now_ms)
			return load->records[i];
	return NULL;
}

static inline void load_count(load_t *load, const load_answer_t *answer)
{
	load_daemon_t *daemon = &load->daemons[answer->daemon];
	uint64_t route = load_route_id(answer->route);

	if (answer->bad)
		load->result->n_bad++;
	if (answer->life != daemon->life)
		return;
	if (answer->failed)
		gc_rollout_evidence_add_failure(daemon->evidence, route,
						answer->measure,
						answer->target);
	else
		gc_rollout_evidence_add_time(daemon->evidence, route,
					     answer->measure, answer->target,
					     (int64_t)answer->ms);
}

static inline void load_expect(load_t *load, load_answer_t answer)
{
	if (load->n_pending == LOAD_MAX_PENDING)
		load_count(load, &answer);
	else
		load->pending[load->n_pending++] = answer;
}

static inline void load_send(load_t *load, int number, int route_number,
			     bool target)
{
	const load_spec_t *spec = load->spec;
	const load_route_t *route = &spec->routes[route_number];
	bool bad = target && load->now_ms >= spec->bad_from_ms &&
		   (spec->bad_route < 0 || spec->bad_route == route_number);
	double factor = load_in_burst(load) ? spec->burst_slow : 1;
	load_answer_t answer = {0};

	answer.daemon = number;
	answer.life = load->daemons[number].life;
	answer.route = route_number;
	answer.measure =
		route->stream ? GC_ROLLOUT_FIRST_EVENT : GC_ROLLOUT_ANSWER;
	answer.target = target;
	if (bad && load_uniform(load) < spec->bad_slow) {
		factor *= spec->bad_factor;
		answer.bad = true;
	}
	answer.failed = load_uniform(load) < spec->base_failures;
	if (bad && load_uniform(load) < spec->bad_failures)
		answer.failed = answer.bad = true;
	answer.ms = route->ms * factor * exp(spec->spread * load_normal(load));
	answer.at_ms = load->now_ms + (int64_t)(answer.failed ? 5 : answer.ms);
	load_expect(load, answer);
	if (!route->stream || answer.failed)
		return;
	/* The stream's mean gap is counted at its end. */
	answer.measure = GC_ROLLOUT_EVENT_GAP;
	answer.bad = false;
	answer.ms = 30 * factor * exp(spec->spread / 2 * load_normal(load));
	answer.at_ms += (int64_t)(20 * answer.ms);
	load_expect(load, answer);
}

/* Requests of a route, in relation to all without a burst. */
static inline double load_part(const load_t *load, int route)
{
	const load_spec_t *spec = load->spec;
	bool more = load_in_burst(load) &&
		    (spec->burst_route < 0 || spec->burst_route == route);

	return spec->routes[route].part * (more ? spec->burst_requests : 1);
}

static inline double load_sum_of_parts(const load_t *load)
{
	double sum = 0;

	for (int i = 0; i < load->spec->n_routes; i++)
		sum += load_part(load, i);
	return sum;
}

static inline int load_choose_route(load_t *load)
{
	double choice = load_uniform(load) * load_sum_of_parts(load);
	int route = 0;

	while (route < load->spec->n_routes - 1 &&
	       choice >= load_part(load, route))
		choice -= load_part(load, route++);
	return route;
}

static inline void load_request(load_t *load)
{
	const load_spec_t *spec = load->spec;
	int number = (int)(load_random(load) % (uint64_t)spec->n_daemons);
	load_daemon_t *daemon = &load->daemons[number];
	const gc_rollout_record_t *record = load_record_of(load, daemon);
	int route = load_choose_route(load);
	char id[32];
	bool target;

	(void)snprintf(id, sizeof(id), "%016llx",
		       (unsigned long long)load_random(load));
	target = record &&
		 gc_rollout_selects(record, load_route_id(route), gc_str(id));
	load->result->n_requests++;
	gc_rollout_evidence_count_request(daemon->evidence);
	if (target) {
		load->result->n_sent++;
		gc_rollout_evidence_count_sent(daemon->evidence);
	}
	load_send(load, number, route, target);
}

static inline void load_answers(load_t *load)
{
	for (size_t i = load->n_pending; i-- > 0;) {
		load_answer_t answer = load->pending[i];

		if (answer.at_ms > load->now_ms)
			continue;
		load->pending[i] = load->pending[--load->n_pending];
		load_count(load, &answer);
	}
}

static inline void load_report(load_t *load, int number)
{
	load_daemon_t *daemon = &load->daemons[number];
	gc_rollout_report_t report = {0};

	if (load->now_ms < daemon->report_ms)
		return;
	daemon->report_ms += GC_ROLLOUT_REPORT_MS;
	if (load_uniform(load) < load->spec->lost_reports)
		return;
	gc_rollout_evidence_report(daemon->evidence, &report);
	report.daemon = (uint64_t)number + 1;
	report.elapsed_ms =
		daemon->learned_ms < 0 ? -1 : load->now_ms - daemon->learned_ms;
	gc_rollout_judge_add_report(load->judge, load_at(load->now_ms),
				    &report);
}

static inline void load_restart(load_t *load, load_daemon_t *daemon)
{
	talloc_free(daemon->evidence);
	daemon->evidence = gc_rollout_evidence_create(load->mem, LOAD_ORDER);
	daemon->life++;
	daemon->learned_ms = -1;
}

static inline void load_create_judge(load_t *load)
{
	const load_spec_t *spec = load->spec;
	gc_rollout_order_t order = {0};

	order.service = gc_str("app");
	order.target = gc_str("v2");
	order.duration_ms = spec->duration_ms;
	order.id = LOAD_ORDER;
	talloc_free(load->judge);
	load->judge =
		gc_rollout_judge_create(load->mem, &spec->limits, &order,
					load_at(load->now_ms), load->now_ms);
}

static inline void load_judge(load_t *load)
{
	load_result_t *result = load->result;
	gc_str_t other = gc_str("v1");
	gc_rollout_fleet_t fleet = {0};
	const gc_rollout_record_t *last =
		load->n_records ? load->records[load->n_records - 1] : NULL;
	const gc_rollout_record_t *next;
	gc_rollout_record_t *copy;

	fleet.n_daemons = (size_t)load->spec->n_daemons;
	fleet.n_able = fleet.n_daemons;
	fleet.service_known = true;
	fleet.n_target_servers = 3;
	fleet.other_versions = &other;
	fleet.n_other_versions = 1;
	fleet.now_ms = LOAD_STARTED_MS + load->now_ms;
	next = gc_rollout_judge_decide(load->judge, load_at(load->now_ms),
				       &fleet, last);
	if (!next || load->n_records == LOAD_MAX_RECORDS)
		return;
	if (last && last->state != GC_ROLLOUT_RUNNING)
		result->n_changed_decisions++;
	copy = gc_rollout_record_copy(load->mem, next);
	copy->revision = (uint64_t)load->n_records + 1;
	load->records[load->n_records] = copy;
	load->written_ms[load->n_records++] = load->now_ms;
	if (copy->state == GC_ROLLOUT_RUNNING || result->decided_ms >= 0)
		return;
	result->state = copy->state;
	result->decided_ms = load->now_ms;
	result->n_bad_at_decision = result->n_bad;
	(void)snprintf(result->reason, sizeof(result->reason), "%.*s",
		       GC_STR_ARG(copy->reason));
}

static inline void load_step(load_t *load)
{
	const load_spec_t *spec = load->spec;
	load_result_t *result = load->result;
	double rate = spec->requests_per_s * load_sum_of_parts(load);
	double left = rate * LOAD_STEP_MS / 1000;
	double excess;

	/* Times between requests are exponential. */
	while ((left += log(1 - load_uniform(load))) > 0)
		load_request(load);
	load_answers(load);
	for (int i = 0; i < spec->n_daemons; i++) {
		load_report(load, i);
		if (spec->restarts_per_s > 0 &&
		    load_uniform(load) <
			    spec->restarts_per_s * LOAD_STEP_MS / 1000)
			load_restart(load, &load->daemons[i]);
	}
	if (spec->new_judge_ms > 0 && load->now_ms == spec->new_judge_ms)
		load_create_judge(load);
	if (load->now_ms % GC_ROLLOUT_REPORT_MS == 0)
		load_judge(load);
	excess = (double)result->n_sent -
		 spec->limits.share * (double)result->n_requests -
		 spec->limits.slack;
	/* After a success, all requests go to the target. */
	if (result->decided_ms < 0 || result->state != GC_ROLLOUT_SUCCEEDED)
		result->max_excess = fmax(result->max_excess, excess);
}

/* Plays a roll-out from the order to a second after its time limit. */
static inline void load_run(const load_spec_t *spec, uint64_t seed,
			    load_result_t *result)
{
	load_t load = {0};

	*result = (load_result_t){GC_ROLLOUT_RUNNING};
	result->decided_ms = -1;
	result->max_excess = -1e9;
	load.spec = spec;
	load.mem = talloc_new(NULL);
	load.seed = seed;
	load.result = result;
	load.pending = talloc_array(load.mem, load_answer_t, LOAD_MAX_PENDING);
	for (int i = 0; i < spec->n_daemons; i++) {
		load_daemon_t *daemon = &load.daemons[i];

		load_restart(&load, daemon);
		daemon->learned_ms = 0;
		daemon->report_ms =
			(int64_t)(load_random(&load) % GC_ROLLOUT_REPORT_MS);
		daemon->lag_ms = (int64_t)(load_uniform(&load) *
					   (double)spec->max_lag_ms);
	}
	load_create_judge(&load);
	for (; load.now_ms <= spec->duration_ms + 1000;
	     load.now_ms += LOAD_STEP_MS)
		load_step(&load);
	result->n_records = load.n_records;
	talloc_free(load.mem);
}

#endif
