/*
 * Decisions about daemons: who is known and live, who watches the key-value
 * service, whether the own configuration version is confirmed, which peers get
 * the next heartbeat and whom to pull a newer version from.
 *
 * All times are of one monotonic clock. A confirmation is kept as the instant
 * at which the version was certainly the newest one. A heartbeat proves no
 * more than its echo: it was sent after the receiver's own heartbeat that it
 * echoes. So a message that was delayed, or waited while the receiver was
 * paused, confirms nothing that is not true any more.
 */
#ifndef GC_CORE_MEMBERSHIP_H
#define GC_CORE_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/placement.h"
#include "core/str.h"

/* Up to this many known daemons, each heartbeat goes to all of them. */
#define GC_MEMBERSHIP_ALL 64
/* Beyond it, to a random subset of this size per interval. */
#define GC_MEMBERSHIP_FANOUT 8
/* Daemons that one heartbeat tells of at most. */
#define GC_MEMBERSHIP_HINTS 2
/* Watchers of the key-value service in each failure domain. */
#define GC_MEMBERSHIP_WATCHERS 2

typedef struct gc_membership gc_membership_t;

typedef struct gc_membership_conf {
	gc_str_t self;
	gc_str_t failure_domain;
	gc_str_t peer_url; /* tcp://ADDRESS:PORT */
	gc_str_t caller_url; /* http://ADDRESS:PORT */
	int64_t heartbeat_ms;
	int64_t confirm_ms; /* how long a confirmation counts */
	const gc_random_t *random;
	struct timespec started;
} gc_membership_conf_t;

/* A daemon as the instance list or another daemon tells of it. */
typedef struct gc_member_hint {
	gc_str_t name;
	gc_str_t failure_domain;
	gc_str_t peer_url; /* empty if unknown */
	gc_str_t caller_url; /* empty if unknown */
	bool leaving;
} gc_member_hint_t;

typedef struct gc_heartbeat {
	/* The addresses and the domain are empty in a short heartbeat. */
	gc_member_hint_t from;
	uint64_t version; /* of the configuration; 0: none */
	int64_t confirmed_age_ms; /* when sent; -1: not confirmed */
	uint64_t stamp; /* opaque time of the sender */
	uint64_t echo; /* last stamp seen of the receiver; 0: none */
	uint32_t known; /* daemons that the sender knows, itself included */
	/*
	 * The service confirmed a version after this daemon started. Only
	 * such daemons make a majority: one that restarted may have forgotten
	 * a version that it had acknowledged.
	 */
	bool voter;
	bool wants_reply;
	gc_member_hint_t hints[GC_MEMBERSHIP_HINTS];
	size_t n_hints;
} gc_heartbeat_t;

/* What a heartbeat calls for. */
typedef struct gc_membership_answer {
	bool reply; /* send the sender a heartbeat now */
	bool pull; /* it has a newer version */
} gc_membership_answer_t;

typedef struct gc_member_info {
	gc_str_t name;
	gc_str_t failure_domain;
	gc_str_t peer_url;
	gc_str_t caller_url;
	uint64_t version;
	int64_t silent_ms; /* since its last heartbeat; -1: never heard */
	bool live;
	bool leaving;
	bool self;
} gc_member_info_t;

gc_membership_t *gc_membership_create(TALLOC_CTX *mem,
				      const gc_membership_conf_t *conf);

/* The whole instance list of daemons, as just read. */
void gc_membership_on_list(gc_membership_t *members, struct timespec now,
			   const gc_member_hint_t *listed, size_t n);
/*
 * Seeds whose daemon isn't known yet count as known until a list was read that
 * has this daemon in it.
 */
void gc_membership_set_seeds(gc_membership_t *members,
			     const gc_str_t *peer_urls, size_t n);
gc_membership_answer_t
gc_membership_on_heartbeat(gc_membership_t *members, struct timespec now,
			   const gc_heartbeat_t *heartbeat);
/* The strings belong to members and live until its next change. */
void gc_membership_make_heartbeat(gc_membership_t *members, struct timespec now,
				  gc_str_t to, gc_heartbeat_t *heartbeat);
/*
 * Addresses for this interval's heartbeats: names and peer_urls of at most max
 * entries. Seeds have no name. Returns the number.
 */
size_t gc_membership_targets(gc_membership_t *members, struct timespec now,
			     gc_member_hint_t *targets, size_t max);
void gc_membership_set_leaving(gc_membership_t *members);
bool gc_membership_leaving(const gc_membership_t *members);

/* The key-value service had this version at some time after started. */
void gc_membership_on_read(gc_membership_t *members, struct timespec started,
			   uint64_t version);
/*
 * A read that was started then got no answer. A daemon that knows no other is
 * confirmed by this alone: otherwise a pause would go unnoticed.
 */
void gc_membership_on_read_failed(gc_membership_t *members,
				  struct timespec started);
/* This daemon holds the version's content. False if it isn't newer. */
bool gc_membership_adopt(gc_membership_t *members, uint64_t version);
uint64_t gc_membership_version(const gc_membership_t *members);
/*
 * Until when the own version is confirmed; a time in the past if it isn't or
 * if a newer version is known.
 */
struct timespec gc_membership_in_effect_until(const gc_membership_t *members,
					      struct timespec now);
bool gc_membership_in_effect(const gc_membership_t *members,
			     struct timespec now);
/* True if at least half of the known daemons were heard lately. */
bool gc_membership_may_accept(const gc_membership_t *members,
			      struct timespec now);
/*
 * True if at least half of the known daemons, itself included, hold the
 * version. From then on no daemon stays confirmed with an older one for longer
 * than confirm_ms: more than half of the daemons include a holder.
 */
bool gc_membership_acknowledged(const gc_membership_t *members,
				struct timespec now, uint64_t version);
/* True if this daemon is a watcher of its failure domain. */
bool gc_membership_is_watcher(const gc_membership_t *members,
			      struct timespec now);
/*
 * True if this daemon should read the service though it is no watcher: its
 * confirmation is running out. Random, so that a large fleet doesn't read
 * all at once.
 */
bool gc_membership_read_due(const gc_membership_t *members,
			    struct timespec now);
/* Name of a peer with a newer version, empty if none is known. */
gc_str_t gc_membership_pull_from(const gc_membership_t *members,
				 struct timespec now);

/* Daemons known, itself included, without leaving ones. */
size_t gc_membership_known(const gc_membership_t *members);
void gc_membership_each(const gc_membership_t *members, struct timespec now,
			void (*fn)(void *ctx, const gc_member_info_t *info),
			void *ctx);
/* Empty if the daemon or its address is unknown. */
gc_str_t gc_membership_peer_url(const gc_membership_t *members, gc_str_t name);

#endif
