/* What backend servers say about themselves in the headers of responses. */
#include "lib/backend_signals.h"

void gc_backend_read_signals(gc_backend_t *backend,
			     const gc_http_message_t *response,
			     const char *leaving_header)
{
	gc_str_t leaving =
		gc_http_message_find_header(response, leaving_header);

	if (leaving.data && gc_str_eq(leaving, GC_STR_LIT("1")))
		gc_backend_record_leaving(backend);
}
