/* Load queries to several backend servers. */
#include "lib/load_probe.h"
#include "lib/backend_query.h"
#include "lib/log.h"
#include "lib/log_events.h"

typedef struct load_query {
	gc_load_probe_t *probe;
	gc_backend_t *server;
	gc_backend_query_t *query;
} load_query_t;

struct gc_load_probe {
	gc_load_probe_conf_t conf;
	load_query_t queries[GC_LOAD_PROBE_MAX_SERVERS];
	size_t n_queries;
	size_t n_pending;
	gc_backend_t
		*silent[GC_LOAD_PROBE_MAX_SERVERS]; /* without any response */
	size_t n_silent;
	gc_backend_t *responded[GC_LOAD_PROBE_MAX_SERVERS];
	size_t n_responded;
	gc_backend_t *unreported[GC_LOAD_PROBE_MAX_SERVERS];
	size_t n_unreported;
};

static int probe_destructor(gc_load_probe_t *probe);
static void start_query(gc_load_probe_t *probe, gc_backend_t *server);
static void on_response(void *ctx, int status, gc_str_t response,
			gc_attempt_end_t end);
static void record_unreported(const load_query_t *load_query, int status);

gc_load_probe_t *gc_load_probe_start(TALLOC_CTX *mem,
				     const gc_load_probe_conf_t *conf,
				     gc_backend_t *const *servers,
				     size_t n_servers)
{
	gc_load_probe_t *probe = talloc_zero(mem, gc_load_probe_t);

	probe->conf = *conf;
	talloc_set_destructor(probe, probe_destructor);
	for (size_t i = 0; i < n_servers && i < GC_LOAD_PROBE_MAX_SERVERS; i++)
		start_query(probe, servers[i]);
	return probe;
}

static int probe_destructor(gc_load_probe_t *probe)
{
	for (size_t i = 0; i < probe->n_queries; i++) {
		if (probe->queries[i].query)
			gc_backend_query_destroy(probe->queries[i].query);
		gc_backend_unref(probe->queries[i].server);
	}
	return 0;
}

void gc_load_probe_destroy(gc_load_probe_t *probe)
{
	talloc_free(probe);
}

static void start_query(gc_load_probe_t *probe, gc_backend_t *server)
{
	load_query_t *load_query = &probe->queries[probe->n_queries++];
	gc_backend_query_conf_t conf = {
		.upstream = probe->conf.upstream,
		.timers = probe->conf.timers,
		.method = "GET",
		.path = probe->conf.adapter->load_path,
		.body = GC_STR_EMPTY,
		.timeout_ms = probe->conf.timeout_ms,
		.done = on_response,
		.ctx = load_query,
	};

	load_query->probe = probe;
	load_query->server = gc_backend_ref(server);
	load_query->query = gc_backend_query_start(probe, &conf, server);
	probe->n_pending++;
}

static void on_response(void *ctx, int status, gc_str_t response,
			gc_attempt_end_t end)
{
	load_query_t *load_query = ctx;
	gc_load_probe_t *probe = load_query->probe;
	struct timespec now = gc_clock_now(probe->conf.clock);
	gc_backend_load_t load;

	/* The query frees itself after this callback. */
	talloc_steal(NULL, load_query->query);
	load_query->query = NULL;
	if (status == 0) {
		gc_backend_record_failure(load_query->server, now, end);
		probe->silent[probe->n_silent++] = load_query->server;
	} else if (status == 200 &&
		   probe->conf.adapter->read_load(response, &load)) {
		gc_backend_record_load(load_query->server, now, &load);
		probe->responded[probe->n_responded++] = load_query->server;
	} else {
		record_unreported(load_query, status);
	}
	if (--probe->n_pending == 0)
		probe->conf.done(probe->conf.ctx);
}

static void record_unreported(const load_query_t *load_query, int status)
{
	gc_load_probe_t *probe = load_query->probe;
	gc_backend_t *server = load_query->server;
	g_autofree char *text = g_strdup_printf("%d", status);

	probe->unreported[probe->n_unreported++] = server;
	if (gc_backend_set_unreported(server))
		gc_log(GC_LOG_WARNING, GC_EVENT_LOAD_UNREPORTED,
		       "a server gives no load report", "server",
		       gc_backend_id(server).data, "status", text, NULL);
}

gc_backend_set_t gc_load_probe_unreported(const gc_load_probe_t *probe)
{
	return (gc_backend_set_t){.list = probe->unreported,
				  .n = probe->n_unreported};
}

gc_backend_set_t gc_load_probe_responded(const gc_load_probe_t *probe)
{
	return (gc_backend_set_t){.list = probe->responded,
				  .n = probe->n_responded};
}

gc_backend_set_t gc_load_probe_lost(const gc_load_probe_t *probe)
{
	return (gc_backend_set_t){
		.list = probe->silent,
		.n = probe->n_silent == probe->n_queries ? probe->n_silent : 0,
	};
}
