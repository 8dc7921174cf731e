/* Asks several backend servers for their load. */
#include "lib/survey.h"

typedef struct question {
	gc_survey_t *survey;
	gc_backend_t *server;
	gc_call_t *call;
	int status;
	GByteArray *body;
} question_t;

struct gc_survey {
	gc_survey_conf_t conf;
	question_t questions[GC_SURVEY_MAX];
	size_t n;
	size_t n_open;
	gc_backend_t *answered[GC_SURVEY_MAX];
	size_t n_answered;
	gc_timer_t *timer;
};

static int survey_destructor(gc_survey_t *survey);
static void ask(gc_survey_t *survey, gc_backend_t *server);
static void on_head(void *ctx, const gc_message_t *answer);
static void on_body(void *ctx, gc_str_t data);
static void on_whole(void *ctx, const gc_message_t *answer);
static void on_failed(void *ctx, gc_attempt_end_t end, const char *why);
static void on_timer(void *ctx);
static void close_one(gc_survey_t *survey);

static const gc_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.whole = on_whole,
	.failed = on_failed,
};

gc_survey_t *gc_survey_start(TALLOC_CTX *mem, const gc_survey_conf_t *conf,
			     gc_backend_t *const *servers, size_t n)
{
	gc_survey_t *survey = talloc_zero(mem, gc_survey_t);

	survey->conf = *conf;
	survey->timer = gc_timer_create(survey, conf->timers, on_timer, survey);
	talloc_set_destructor(survey, survey_destructor);
	for (size_t i = 0; i < n && i < GC_SURVEY_MAX; i++)
		ask(survey, servers[i]);
	/* With nothing to wait for, the end still comes from the loop. */
	gc_timer_set(survey->timer, survey->n_open > 0 ? conf->timeout_ms : 0);
	return survey;
}

static int survey_destructor(gc_survey_t *survey)
{
	for (size_t i = 0; i < survey->n; i++) {
		question_t *question = &survey->questions[i];

		if (question->call)
			gc_call_cancel(question->call);
		g_byte_array_free(question->body, TRUE);
		gc_backend_unref(question->server);
	}
	return 0;
}

void gc_survey_destroy(gc_survey_t *survey)
{
	talloc_free(survey);
}

static void ask(gc_survey_t *survey, gc_backend_t *server)
{
	question_t *question = &survey->questions[survey->n++];
	gc_str_t address = gc_backend_address(server);
	g_autofree char *request =
		g_strdup_printf("GET %s HTTP/1.1\r\nHost: %.*s\r\n\r\n",
				survey->conf.adapter->load_path,
				GC_STR_ARG(address));

	question->survey = survey;
	question->server = gc_backend_ref(server);
	question->body = g_byte_array_new();
	question->call = gc_upstream_start(survey->conf.upstream, server,
					   gc_str(request), GC_STR_EMPTY, false,
					   &call_ops, question);
	if (question->call)
		survey->n_open++;
}

static void on_head(void *ctx, const gc_message_t *answer)
{
	question_t *question = ctx;

	question->status = gc_message_status(answer);
}

static void on_body(void *ctx, gc_str_t data)
{
	question_t *question = ctx;

	g_byte_array_append(question->body, (const guint8 *)data.data,
			    (guint)data.len);
}

static void on_whole(void *ctx, const gc_message_t *answer)
{
	question_t *question = ctx;
	gc_survey_t *survey = question->survey;
	gc_str_t body = {(const char *)question->body->data,
			 question->body->len};
	gc_load_t load;

	question->call = NULL;
	if (question->status == 200 &&
	    survey->conf.adapter->read_load(body, &load)) {
		gc_backend_report(question->server,
				  gc_clock_now(survey->conf.clock), &load);
		survey->answered[survey->n_answered++] = question->server;
	}
	close_one(survey);
}

static void on_failed(void *ctx, gc_attempt_end_t end, const char *why)
{
	question_t *question = ctx;

	question->call = NULL;
	gc_backend_failed(question->server,
			  gc_clock_now(question->survey->conf.clock), end);
	close_one(question->survey);
}

static void on_timer(void *ctx)
{
	gc_survey_t *survey = ctx;

	for (size_t i = 0; i < survey->n; i++) {
		question_t *question = &survey->questions[i];

		if (!question->call)
			continue;
		gc_call_cancel(question->call);
		question->call = NULL;
		gc_backend_failed(question->server,
				  gc_clock_now(survey->conf.clock),
				  GC_END_SILENT);
	}
	survey->conf.done(survey->conf.ctx);
}

/* The end comes from the timer, outside the callbacks of the calls. */
static void close_one(gc_survey_t *survey)
{
	if (--survey->n_open == 0)
		gc_timer_set(survey->timer, 0);
}

gc_backend_set_t gc_survey_answered(const gc_survey_t *survey)
{
	return (gc_backend_set_t){survey->answered, survey->n_answered};
}
