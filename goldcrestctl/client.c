/* Requests to the operator listeners of the daemons. */
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

#include "goldcrestctl.h"

#define CONNECT_TIMEOUT_MS 1000L
/* A change may take 10 s to commit and 3 s to reach the daemons. */
#define REQUEST_TIMEOUT_MS 15000L

static bool request_daemon(const ctl_t *ctl, const char *base_url,
			   const char *method, const char *path,
			   const char *if_match, const char *body,
			   ctl_response_t *response);
static struct curl_slist *make_headers(const ctl_t *ctl, const char *if_match);
static bool is_success(long status);
static size_t append_response(char *data, size_t size, size_t n, void *ctx);

void ctl_request(const ctl_t *ctl, const char *method, const char *path,
		 const char *if_match, json_t *body, ctl_response_t *response)
{
	char *payload = body ? json_dumps(body, JSON_COMPACT) : NULL;
	bool is_get = strcmp(method, "GET") == 0;

	*response = (ctl_response_t){0};
	for (char **url = ctl->urls; *url; url++) {
		ctl_response_clear(response);
		if (request_daemon(ctl, *url, method, path, if_match, payload,
				   response))
			break;
		/*
		 * The daemon may have applied the change, and a resent one
		 * could then fail with a version conflict.
		 */
		if (response->request_sent && !is_get)
			break;
	}
	free(payload);
}

/* Returns false unless a complete response was received. */
static bool request_daemon(const ctl_t *ctl, const char *base_url,
			   const char *method, const char *path,
			   const char *if_match, const char *body,
			   ctl_response_t *response)
{
	struct curl_slist *headers = make_headers(ctl, if_match);
	g_autoptr(GString) response_body = g_string_new(NULL);
	g_autofree char *url = g_strconcat(base_url, path, NULL);
	CURL *curl = curl_easy_init();
	curl_off_t pretransfer_us = 0;
	CURLcode code;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response_body);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response->status);
	curl_easy_getinfo(curl, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
	response->request_sent = pretransfer_us > 0;
	response->url = g_strdup(base_url);
	response->body =
		json_loadb(response_body->str, response_body->len, 0, NULL);
	if (code != CURLE_OK)
		response->transport_error = g_strdup_printf(
			"%s: %s", base_url, curl_easy_strerror(code));
	else if (is_success(response->status) &&
		 !json_is_object(response->body))
		/* Without a length, a part of it ends with the connection. */
		response->transport_error = g_strdup_printf(
			"%s: the response is incomplete", base_url);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	if (response->transport_error)
		response->status = 0;
	return !response->transport_error;
}

static bool is_success(long status)
{
	return status >= 200 && status < 300;
}

static struct curl_slist *make_headers(const ctl_t *ctl, const char *if_match)
{
	g_autofree char *key =
		g_strconcat("Authorization: Bearer ", ctl->key, NULL);
	struct curl_slist *headers = curl_slist_append(NULL, key);

	headers = curl_slist_append(headers, "Content-Type: "
					     "application/merge-patch+json");
	/* Keeps curl from waiting for 100 Continue before larger bodies. */
	headers = curl_slist_append(headers, "Expect:");
	if (if_match) {
		g_autofree char *line =
			g_strconcat("If-Match: ", if_match, NULL);

		headers = curl_slist_append(headers, line);
	}
	return headers;
}

static size_t append_response(char *data, size_t size, size_t n, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)n);
	return n;
}

void ctl_response_clear(ctl_response_t *response)
{
	json_decref(response->body);
	g_free(response->url);
	g_free(response->transport_error);
	*response = (ctl_response_t){0};
}

ctl_exit_t ctl_report_error(const ctl_response_t *response)
{
	json_t *error = json_object_get(response->body, "error");
	const char *message =
		json_string_value(json_object_get(error, "message"));

	if (response->status == 0) {
		fprintf(stderr, "goldcrestctl: %s\n",
			response->transport_error ? response->transport_error
						  : "no daemon given");
		return response->request_sent ? CTL_ERROR : CTL_UNAVAILABLE;
	}
	fprintf(stderr, "goldcrestctl: %s: HTTP status %ld%s%s\n",
		response->url, response->status, message ? ":\n" : "",
		message ? message : "");
	if (response->status == 503)
		return CTL_UNAVAILABLE;
	return response->status == 412 ? CTL_CONFLICT : CTL_ERROR;
}
