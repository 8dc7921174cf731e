/* Requests to the operator listeners of the daemons. */
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

#include "goldcrestctl.h"

#define CONNECT_TIMEOUT_MS 1000L
/* A change may take ten seconds to decide and three to spread. */
#define TIMEOUT_MS 15000L

static bool request_one(const ctl_t *ctl, const char *base, const char *method,
			const char *path, const char *if_match,
			const char *body, ctl_answer_t *answer);
static struct curl_slist *make_headers(const ctl_t *ctl, const char *if_match);
static size_t collect(char *data, size_t size, size_t n, void *ctx);

void ctl_request(const ctl_t *ctl, const char *method, const char *path,
		 const char *if_match, json_t *body, ctl_answer_t *answer)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	bool read = strcmp(method, "GET") == 0;

	*answer = (ctl_answer_t){0};
	for (char **url = ctl->urls; *url; url++) {
		ctl_answer_clear(answer);
		if (request_one(ctl, *url, method, path, if_match, text,
				answer))
			break;
		/* A second sending could conflict with the first. */
		if (answer->sent && !read)
			break;
	}
	free(text);
}

/* False if no whole answer came. */
static bool request_one(const ctl_t *ctl, const char *base, const char *method,
			const char *path, const char *if_match,
			const char *body, ctl_answer_t *answer)
{
	struct curl_slist *headers = make_headers(ctl, if_match);
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *url = g_strconcat(base, path, NULL);
	CURL *easy = curl_easy_init();
	curl_off_t before_sending = 0;
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &before_sending);
	answer->sent = before_sending > 0;
	answer->url = g_strdup(base);
	if (code == CURLE_OK)
		answer->body = json_loadb(text->str, text->len, 0, NULL);
	else
		answer->problem = g_strdup_printf("%s: %s", base,
						  curl_easy_strerror(code));
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	if (code != CURLE_OK)
		answer->status = 0;
	return code == CURLE_OK;
}

static struct curl_slist *make_headers(const ctl_t *ctl, const char *if_match)
{
	g_autofree char *key =
		g_strconcat("Authorization: Bearer ", ctl->key, NULL);
	struct curl_slist *headers = curl_slist_append(NULL, key);

	headers = curl_slist_append(headers, "Content-Type: "
					     "application/merge-patch+json");
	/* Without this, larger bodies wait for a 100 answer first. */
	headers = curl_slist_append(headers, "Expect:");
	if (if_match) {
		g_autofree char *line =
			g_strconcat("If-Match: ", if_match, NULL);

		headers = curl_slist_append(headers, line);
	}
	return headers;
}

static size_t collect(char *data, size_t size, size_t n, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)n);
	return n;
}

void ctl_answer_clear(ctl_answer_t *answer)
{
	json_decref(answer->body);
	g_free(answer->url);
	g_free(answer->problem);
	*answer = (ctl_answer_t){0};
}

ctl_exit_t ctl_fail(const ctl_answer_t *answer)
{
	json_t *error = json_object_get(answer->body, "error");
	const char *message =
		json_string_value(json_object_get(error, "message"));

	if (answer->status == 0) {
		fprintf(stderr, "goldcrestctl: %s\n",
			answer->problem ? answer->problem : "no daemon given");
		return answer->sent ? CTL_ERROR : CTL_UNAVAILABLE;
	}
	fprintf(stderr, "goldcrestctl: %s: HTTP status %ld%s%s\n", answer->url,
		answer->status, message ? ":\n" : "", message ? message : "");
	if (answer->status == 503)
		return CTL_UNAVAILABLE;
	return answer->status == 412 ? CTL_CONFLICT : CTL_ERROR;
}
