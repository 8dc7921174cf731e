/* goldcrestctl: command-line client of the operator API of goldcrestd. */
#ifndef GOLDCRESTCTL_H
#define GOLDCRESTCTL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_ERROR = 1,
	CTL_USAGE = 2,
	CTL_CONFLICT = 3,
	CTL_UNAVAILABLE = 4,
	CTL_NOT_IN_EFFECT = 5,
	CTL_ROLLED_BACK = 6,
} ctl_exit_t;

/* Options that all commands share. */
typedef struct ctl {
	char **urls; /* operator listeners of daemons; NULL-terminated */
	char *key; /* operator key */
	char *store; /* "IP:PORT" of the store in the routed mode; may be NULL */
	bool json; /* print JSON instead of text */
} ctl_t;

typedef struct ctl_response {
	long status; /* HTTP status; 0 if no daemon responded */
	json_t *body; /* NULL if the body is not valid JSON */
	char *url; /* daemon that was tried last */
	char *transport_error; /* NULL if a daemon responded */
	bool request_sent; /* the request may have reached a daemon */
} ctl_response_t;

/* client.c */
/*
 * Sends a request to the daemons in order until one responds. A request other
 * than GET is not sent to another daemon once it may have reached one. The
 * caller clears the response with ctl_response_clear.
 */
void ctl_request(const ctl_t *ctl, const char *method, const char *path,
		 const char *if_match, json_t *body, ctl_response_t *response);
void ctl_response_clear(ctl_response_t *response);
/* Prints the error in a response and returns the exit code for it. */
ctl_exit_t ctl_report_error(const ctl_response_t *response);

/*
 * commands.c; all command functions get the arguments after the name of the
 * command.
 */
ctl_exit_t ctl_config(const ctl_t *ctl, int argc, char **argv);
ctl_exit_t ctl_label(const ctl_t *ctl, int argc, char **argv);
ctl_exit_t ctl_depart(const ctl_t *ctl, int argc, char **argv);
ctl_exit_t ctl_return(const ctl_t *ctl, int argc, char **argv);

/* objects.c */
ctl_exit_t ctl_pool(const ctl_t *ctl, int argc, char **argv);
ctl_exit_t ctl_model(const ctl_t *ctl, int argc, char **argv);
ctl_exit_t ctl_account(const ctl_t *ctl, int argc, char **argv);
ctl_exit_t ctl_service(const ctl_t *ctl, int argc, char **argv);

/* change.c */
/*
 * Applies a merge patch to the current version of the configuration. On a
 * version conflict, retries with the new version unless the concurrent change
 * may have affected object_path ("pools.NAME").
 */
ctl_exit_t ctl_patch_object(const ctl_t *ctl, const char *object_path,
			    json_t *patch);
/* Applies a merge patch to the given version, without retries. */
ctl_exit_t ctl_patch(const ctl_t *ctl, uint64_t version, json_t *patch);
/* Sets version to the current one, or 0 if there is no configuration yet. */
ctl_exit_t ctl_get_version(const ctl_t *ctl, uint64_t *version);

/* status.c */
ctl_exit_t ctl_status(const ctl_t *ctl, int argc, char **argv);
ctl_exit_t ctl_wait(const ctl_t *ctl, int argc, char **argv);

/* rollout.c */
ctl_exit_t ctl_rollout(const ctl_t *ctl, int argc, char **argv);

/* Prints the message and returns CTL_USAGE. */
ctl_exit_t ctl_usage_error(const char *message, ...) G_GNUC_PRINTF(1, 2);

#endif
