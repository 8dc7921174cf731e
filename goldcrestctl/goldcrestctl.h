/* Operators' command line. */
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
} ctl_exit_t;

/* What every command has: daemons to ask, the key, the output's form. */
typedef struct ctl {
	char **urls;
	char *key;
	bool json;
} ctl_t;

typedef struct ctl_answer {
	long status; /* HTTP; 0 if no daemon answered */
	json_t *body; /* NULL if it isn't JSON */
	char *url; /* of the daemon that answered */
	char *problem; /* why no daemon answered */
	bool sent; /* the request may have reached a daemon */
} ctl_answer_t;

/* client.c: one request, to the first daemon that can be reached. */
void ctl_request(const ctl_t *ctl, const char *method, const char *path,
		 const char *if_match, json_t *body, ctl_answer_t *answer);
void ctl_answer_clear(ctl_answer_t *answer);
/* Prints the error of an answer and returns the exit code for it. */
ctl_exit_t ctl_fail(const ctl_answer_t *answer);

/* commands.c: arguments without the name of the command. */
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
 * Patches the current version. On a conflict it tries again with the new
 * version unless the other change touched object ("pools.NAME").
 */
ctl_exit_t ctl_change_object(const ctl_t *ctl, const char *object,
			     json_t *patch);
/* Patches this version, once. */
ctl_exit_t ctl_change(const ctl_t *ctl, uint64_t version, json_t *patch);
/* The current version; 0 if there is no configuration yet. */
ctl_exit_t ctl_read_version(const ctl_t *ctl, uint64_t *version);

/* status.c */
ctl_exit_t ctl_status(const ctl_t *ctl, int argc, char **argv);
ctl_exit_t ctl_wait(const ctl_t *ctl, int argc, char **argv);

ctl_exit_t ctl_usage(const char *message, ...) G_GNUC_PRINTF(1, 2);

#endif
