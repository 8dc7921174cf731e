/* Guards against settings that are invalid, unknown or silently ignored. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/error.h"
#include "lib/routed_settings.h"
#include "lib/settings.h"

#define KEY "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define REQUIRED                                                \
	"\"instance\":\"d1\",\"failure_domain\":\"a\","         \
	"\"caller\":{\"address\":\"127.0.0.1\",\"port\":8080}," \
	"\"operator\":{\"address\":\"127.0.0.1\",\"port\":0},"  \
	"\"peer\":{\"address\":\"10.0.0.1\",\"port\":7070},"    \
	"\"platform_url\":\"http://127.0.0.1:8500\","           \
	"\"operator_keys\":[\"op1\",\"op2\"]"
#define FLEET_KEY ",\"fleet_key\":\"" KEY "\""

static gc_settings_t *load(const char *text, GError **err);
static void expect_error(const char *text, const char *message);

static gc_settings_t *load(const char *text, GError **err)
{
	char path[] = "/tmp/check_settings.XXXXXX";
	int fd = mkstemp(path);
	gc_settings_t *settings;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (int)strlen(text));
	close(fd);
	settings = gc_settings_load(NULL, path, err);
	unlink(path);
	return settings;
}

static void expect_error(const char *text, const char *message)
{
	GError *err = NULL;

	ck_assert_ptr_null(load(text, &err));
	ck_assert(g_error_matches(err, GC_ERROR, GC_ERR_INVALID));
	ck_assert_str_eq(err->message, message);
	g_error_free(err);
}

START_TEST(test_defaults)
{
	GError *err = NULL;
	gc_settings_t *settings = load("{" REQUIRED FLEET_KEY "}", &err);

	ck_assert_ptr_nonnull(settings);
	ck_assert_str_eq(settings->instance, "d1");
	ck_assert_str_eq(settings->caller.address, "127.0.0.1");
	ck_assert_uint_eq(settings->caller.port, 8080);
	ck_assert_uint_eq(settings->peer.port, 7070);
	ck_assert_uint_eq(settings->n_operator_keys, 2);
	ck_assert_str_eq(settings->operator_keys[1], "op2");
	ck_assert_uint_eq(settings->n_seed_peers, 0);
	ck_assert_uint_eq(settings->fleet_key[31], 0x1f);
	ck_assert_uint_eq(settings->traffic_threads, 1);
	ck_assert_uint_eq(settings->max_body_bytes, 4 << 20);
	ck_assert_uint_eq(settings->heartbeat_ms, 500);
	ck_assert_uint_eq(settings->config_confirm_ms, 3000);
	ck_assert_uint_eq(settings->list_poll_ms, 1000);
	ck_assert_uint_eq(settings->load_poll_ms, 500);
	ck_assert_uint_eq(settings->engine_subset, 64);
	ck_assert_uint_eq(settings->queue_ms, 2000);
	ck_assert_uint_eq(settings->max_streams, 4000);
	ck_assert_uint_eq(settings->address_ttl_s, 10);
	ck_assert_uint_eq(settings->stop_grace_s, 30);
	ck_assert_uint_eq(settings->claim_batch_ms, 2);
	ck_assert(!settings->log_json);
	ck_assert_int_eq(settings->log_level, GC_LOG_INFO);
	talloc_free(settings);
}
END_TEST

START_TEST(test_non_default_values)
{
	GError *err = NULL;
	gc_settings_t *settings =
		load("{" REQUIRED FLEET_KEY
		     ",\"seed_peers\":[\"tcp://10.0.0.2:7070\"],\"queue_ms\":0,"
		     "\"max_body_bytes\":2048,\"log_json\":true,"
		     "\"log_level\":\"warning\",\"traffic_threads\":4}",
		     &err);

	ck_assert_ptr_nonnull(settings);
	ck_assert_uint_eq(settings->n_seed_peers, 1);
	ck_assert_str_eq(settings->seed_peers[0], "tcp://10.0.0.2:7070");
	ck_assert_uint_eq(settings->queue_ms, 0);
	ck_assert_uint_eq(settings->max_body_bytes, 2048);
	ck_assert_uint_eq(settings->traffic_threads, 4);
	ck_assert(settings->log_json);
	ck_assert_int_eq(settings->log_level, GC_LOG_WARNING);
	talloc_free(settings);
}
END_TEST

START_TEST(test_reports_all_errors)
{
	expect_error("{\"instance\":\"\",\"failure_domain\":\"a\","
		     "\"caller\":{\"address\":\"localhost\",\"port\":70000,"
		     "\"tls\":true},\"operator\":[],"
		     "\"peer\":{\"address\":\"127.0.0.1\",\"port\":1},"
		     "\"seed_peers\":[\"10.0.0.2\",\"tcp://10.0.0.2:0\"],"
		     "\"platform_url\":\"https://127.0.0.1:1\","
		     "\"fleet_key\":\"00\",\"operator_keys\":[],"
		     "\"heartbeat_ms\":\"500\",\"max_streams\":0,"
		     "\"log_json\":1,\"log_level\":\"loud\","
		     "\"heartbeat_s\":1}",
		     "instance: must be a non-empty string\n"
		     "caller.address: must be an IPv4 address\n"
		     "caller.port: must be a number from 0 to 65535\n"
		     "caller.tls: unknown setting\n"
		     "operator: must be an object\n"
		     "seed_peers[0]: must be tcp://ADDRESS:PORT\n"
		     "seed_peers[1]: must be tcp://ADDRESS:PORT\n"
		     "platform_url: must be http://ADDRESS:PORT\n"
		     "fleet_key: must be 64 hex digits\n"
		     "operator_keys: must not be empty\n"
		     "heartbeat_ms: must be a number from 10 to 60000\n"
		     "max_streams: must be a number from 1 to 100000\n"
		     "log_json: must be true or false\n"
		     "log_level: must be debug, info, warning or error\n"
		     "heartbeat_s: unknown setting");
}
END_TEST

START_TEST(test_missing_setting)
{
	expect_error("{" REQUIRED "}", "fleet_key: missing");
}
END_TEST

START_TEST(test_invalid_file)
{
	GError *err = NULL;

	ck_assert_ptr_null(load("[]", &err));
	ck_assert_ptr_nonnull(strstr(err->message, "(root): must be"));
	g_clear_error(&err);
	ck_assert_ptr_null(
		load("{\"instance\":\"a\",\"instance\":\"b\"}", &err));
	ck_assert_ptr_nonnull(strstr(err->message, "duplicate"));
	g_clear_error(&err);
	ck_assert_ptr_null(gc_settings_load(NULL, "/nonexistent", &err));
	ck_assert_ptr_nonnull(strstr(err->message, "/nonexistent"));
	g_clear_error(&err);
}
END_TEST

static gc_routed_settings_t *load_routed(const char *members, GError **err)
{
	char path[] = "/tmp/check_settings.XXXXXX";
	int fd = mkstemp(path);
	g_autofree char *text = g_strdup_printf(
		"{\"mode\":\"routed\",\"instance\":\"d1\","
		"\"failure_domain\":\"a\",\"caller\":\"127.0.0.1:1\","
		"\"ready\":\"127.0.0.1:2\",\"addresses\":\"127.0.0.1:3\","
		"\"store\":\"127.0.0.1:4\"%s}",
		members);
	gc_routed_settings_t *settings;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (int)strlen(text));
	close(fd);
	settings = gc_routed_settings_load(NULL, path, err);
	unlink(path);
	return settings;
}

/* Roll-outs are off unless their bounds are set. */
START_TEST(test_rollout_settings)
{
	gc_routed_settings_t *settings = load_routed("", NULL);
	GError *err = NULL;

	ck_assert_ptr_nonnull(settings);
	ck_assert_double_eq(settings->rollout.share, 0);
	ck_assert_uint_eq(settings->rollout.slack, 0);
	ck_assert_int_eq(settings->rollout.withdraw_ms, 5000);
	talloc_free(settings);
	settings = load_routed(",\"rollout_share\":0.1,\"rollout_slack\":50,"
			       "\"rollout_withdraw_ms\":4000",
			       NULL);
	ck_assert_ptr_nonnull(settings);
	ck_assert_double_eq(settings->rollout.share, 0.1);
	ck_assert_uint_eq(settings->rollout.slack, 50);
	ck_assert_int_eq(settings->rollout.withdraw_ms, 4000);
	talloc_free(settings);
	ck_assert_ptr_null(load_routed(",\"rollout_share\":1.1,"
				       "\"rollout_slack\":-1,"
				       "\"rollout_withdraw_ms\":\"x\"",
				       &err));
	ck_assert_ptr_nonnull(strstr(err->message, "rollout_share: "));
	ck_assert_ptr_nonnull(strstr(err->message, "rollout_slack: "));
	ck_assert_ptr_nonnull(strstr(err->message, "rollout_withdraw_ms: "));
	g_error_free(err);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("settings");
	TCase *tcase = tcase_create("settings");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_defaults);
	tcase_add_test(tcase, test_non_default_values);
	tcase_add_test(tcase, test_reports_all_errors);
	tcase_add_test(tcase, test_missing_setting);
	tcase_add_test(tcase, test_invalid_file);
	tcase_add_test(tcase, test_rollout_settings);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
