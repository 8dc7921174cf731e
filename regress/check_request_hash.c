/*
 * Guards against requests that are taken for one another, and against one that
 * isn't recognized when it comes again with a new id.
 */
#include "lib/request_hash.h"
#include "regress/unit.h"

static uint64_t hash_of(const char *service, const char *account,
			const char *text)
{
	gc_http_message_t *request =
		gc_http_message_create(NULL, GC_HTTP_MESSAGE_REQUEST);
	uint64_t hash;

	gc_http_message_feed(request, gc_str(text));
	ck_assert_int_eq(gc_http_message_state(request),
			 GC_HTTP_MESSAGE_COMPLETE);
	hash = gc_request_hash(gc_str(service), gc_str(account),
			       gc_http_message_find_header(request, "x-prompt"),
			       request);
	talloc_free(request);
	return hash;
}

#define POST(target, headers, body)                       \
	"POST " target " HTTP/1.1\r\nHost: h\r\n" headers \
	"Content-Length: 4\r\n\r\n" body

START_TEST(test_same_request_has_same_hash)
{
	uint64_t first =
		hash_of("app", "north", POST("/a?b=1", "X-Id: 1\r\n", "body"));

	ck_assert_uint_eq(hash_of("app", "north",
				  POST("/a?b=1", "X-Id: 2\r\n", "body")),
			  first);
	ck_assert_uint_eq(
		hash_of("app", "north",
			"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
			"chunked\r\n\r\n1\r\nb\r\n3\r\nody\r\n0\r\n\r\n"),
		first);
}
END_TEST

START_TEST(test_each_field_counts)
{
	const uint64_t hashes[] = {
		hash_of("app", "north", POST("/a?b=1", "", "body")),
		hash_of("app2", "north", POST("/a?b=1", "", "body")),
		hash_of("app", "north2", POST("/a?b=1", "", "body")),
		hash_of("appn", "orth", POST("/a?b=1", "", "body")),
		hash_of("app", "", POST("/a?b=1", "", "body")),
		hash_of("app", "north", POST("/a?b=2", "", "body")),
		hash_of("app", "north", POST("/a", "", "body")),
		hash_of("app", "north",
			POST("/a?b=1", "X-Prompt: aa:1,bb:2\r\n", "body")),
		hash_of("app", "north",
			POST("/a?b=1", "X-Prompt: aa:1,cc:2\r\n", "body")),
		hash_of("app", "north", POST("/a?b=1", "", "bodz")),
		hash_of("app", "north",
			"PUT /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4"
			"\r\n\r\nbody"),
		hash_of("app", "north",
			"POST /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(hashes); i++)
		for (size_t j = 0; j < i; j++)
			ck_assert_uint_ne(hashes[i], hashes[j]);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_same_request_has_same_hash,
		test_each_field_counts,
		NULL,
	};

	return unit_run("request_hash", tests);
}
