/* Asks several backend servers for their load. */
#include "lib/load_probe.h"
#include "lib/backend_query.h"

typedef struct question {
	gc_load_probe_t *survey;
	gc_backend_t *server;
	gc_backend_query_t *ask;
} question_t;

struct gc_load_probe {
	gc_load_probe_conf_t conf;
	question_t questions[GC_LOAD_PROBE_MAX];
	size_t n;
	size_t n_open;
	gc_backend_t *answered[GC_LOAD_PROBE_MAX];
	size_t n_answered;
};

static int survey_destructor(gc_load_probe_t *survey);
static void start_question(gc_load_probe_t *survey, gc_backend_t *server);
static void on_answer(void *ctx, int status, gc_str_t answer,
		      gc_attempt_end_t end);

gc_load_probe_t *gc_load_probe_start(TALLOC_CTX *mem,
				     const gc_load_probe_conf_t *conf,
				     gc_backend_t *const *servers, size_t n)
{
	gc_load_probe_t *survey = talloc_zero(mem, gc_load_probe_t);

	survey->conf = *conf;
	talloc_set_destructor(survey, survey_destructor);
	for (size_t i = 0; i < n && i < GC_LOAD_PROBE_MAX; i++)
		start_question(survey, servers[i]);
	return survey;
}

static int survey_destructor(gc_load_probe_t *survey)
{
	for (size_t i = 0; i < survey->n; i++) {
		if (survey->questions[i].ask)
			gc_backend_query_destroy(survey->questions[i].ask);
		gc_backend_unref(survey->questions[i].server);
	}
	return 0;
}

void gc_load_probe_destroy(gc_load_probe_t *survey)
{
	talloc_free(survey);
}

static void start_question(gc_load_probe_t *survey, gc_backend_t *server)
{
	question_t *question = &survey->questions[survey->n++];
	gc_backend_query_conf_t conf = {
		.upstream = survey->conf.upstream,
		.timers = survey->conf.timers,
		.method = "GET",
		.path = survey->conf.adapter->load_path,
		.body = GC_STR_EMPTY,
		.timeout_ms = survey->conf.timeout_ms,
		.done = on_answer,
		.ctx = question,
	};

	question->survey = survey;
	question->server = gc_backend_ref(server);
	question->ask = gc_backend_query_start(survey, &conf, server);
	survey->n_open++;
}

static void on_answer(void *ctx, int status, gc_str_t answer,
		      gc_attempt_end_t end)
{
	question_t *question = ctx;
	gc_load_probe_t *survey = question->survey;
	struct timespec now = gc_clock_now(survey->conf.clock);
	gc_load_t load;

	/* It is freed by itself after this callback. */
	talloc_steal(NULL, question->ask);
	question->ask = NULL;
	if (status == 0) {
		gc_backend_failed(question->server, now, end);
	} else if (status == 200 &&
		   survey->conf.adapter->read_load(answer, &load)) {
		gc_backend_report(question->server, now, &load);
		survey->answered[survey->n_answered++] = question->server;
	}
	if (--survey->n_open == 0)
		survey->conf.done(survey->conf.ctx);
}

gc_backend_set_t gc_load_probe_answered(const gc_load_probe_t *survey)
{
	return (gc_backend_set_t){survey->answered, survey->n_answered};
}
