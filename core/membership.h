/*
 * Membership of daemons: which of them are known and live, which watch the
 * configuration in the key-value service, whether this daemon's configuration
 * version is confirmed, which peers get the next heartbeat, and from which peer
 * to pull a newer version.
 *
 * All times are of this daemon's monotonic clock. A confirmation is stored as
 * the latest time at which the version was certainly the newest one. The time
 * of a heartbeat's content is taken from its echo, not from its arrival: it was
 * sent after this daemon's heartbeat that it echoes. A message that was
 * delayed, or queued while this daemon was paused, therefore confirms nothing
 * outdated.
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

/* With fewer known peers than this, each heartbeat goes to all of them. */
#define GC_MEMBERSHIP_FULL_MESH_MAX 64
/* Otherwise, to a random subset of this size per interval. */
#define GC_MEMBERSHIP_FANOUT 8
/* Maximum number of other daemons that one heartbeat describes. */
#define GC_MEMBERSHIP_MAX_HINTS 2
/* Daemons of each failure domain that watch the key-value service. */
#define GC_MEMBERSHIP_WATCHERS_PER_DOMAIN 2

typedef struct gc_membership gc_membership_t;

typedef struct gc_membership_conf {
	gc_str_t self;
	gc_str_t failure_domain;
	gc_str_t peer_url; /* tcp://ADDRESS:PORT */
	gc_str_t caller_url; /* http://ADDRESS:PORT */
	int64_t heartbeat_ms; /* interval */
	int64_t confirm_ms; /* validity of a confirmation */
	const gc_random_t *random; /* must outlive the object */
	struct timespec started; /* of this daemon */
} gc_membership_conf_t;

/* A daemon as described by the instance list or by another daemon. */
typedef struct gc_member_descriptor {
	gc_str_t name;
	gc_str_t failure_domain;
	gc_str_t peer_url; /* empty if unknown */
	gc_str_t caller_url; /* empty if unknown */
	bool leaving;
} gc_member_descriptor_t;

typedef struct gc_heartbeat {
	/* The URLs and the failure domain are empty in a short heartbeat. */
	gc_member_descriptor_t from;
	uint64_t version; /* of the configuration; 0: none */
	int64_t confirmed_age_ms; /* at sending; -1: not confirmed */
	uint64_t stamp; /* time of sending, opaque to the receiver */
	uint64_t echo; /* latest stamp received from the receiver; 0: none */
	uint32_t known; /* count of daemons known to the sender, with itself */
	/*
	 * The sender had a version confirmed by the key-value service after it
	 * started. Only voters count towards a majority: a daemon that
	 * restarted may have lost a version that it had acknowledged.
	 */
	bool voter;
	bool wants_reply;
	gc_member_descriptor_t hints[GC_MEMBERSHIP_MAX_HINTS];
	size_t n_hints;
} gc_heartbeat_t;

/* What the caller has to do about a heartbeat. */
typedef struct gc_heartbeat_response {
	bool reply; /* send a heartbeat to its sender now */
	bool pull; /* pull the newer version from its sender */
} gc_heartbeat_response_t;

typedef struct gc_member_info {
	gc_str_t name;
	gc_str_t failure_domain;
	gc_str_t peer_url;
	gc_str_t caller_url;
	uint64_t version;
	int64_t silent_ms; /* since its last heartbeat; -1: none yet */
	bool live;
	/*
	 * Silent for longer than confirm_ms: it no longer acts on any
	 * configuration that it had.
	 */
	bool gone;
	bool leaving;
	bool self;
} gc_member_info_t;

gc_membership_t *gc_membership_create(TALLOC_CTX *mem,
				      const gc_membership_conf_t *conf);

/* Applies the complete list of daemons, as just read. */
void gc_membership_on_daemon_list(gc_membership_t *membership,
				  struct timespec now,
				  const gc_member_descriptor_t *listed,
				  size_t n);
/*
 * Sets the peer URLs of the seeds. A seed whose daemon is not known yet counts
 * as a known daemon until a list that has this daemon in it was read.
 */
void gc_membership_set_seeds(gc_membership_t *membership,
			     const gc_str_t *peer_urls, size_t n);
gc_heartbeat_response_t
gc_membership_on_heartbeat(gc_membership_t *membership, struct timespec now,
			   const gc_heartbeat_t *heartbeat);
/*
 * Fills in the heartbeat to the daemon `to` (empty: a seed). Its strings are
 * valid until the next change.
 */
void gc_membership_make_heartbeat(gc_membership_t *membership,
				  struct timespec now, gc_str_t to,
				  gc_heartbeat_t *heartbeat);
/*
 * Sets targets to the receivers of this interval's heartbeats, at most max, and
 * returns their number. Seeds have no name.
 */
size_t gc_membership_targets(gc_membership_t *membership, struct timespec now,
			     gc_member_descriptor_t *targets, size_t max);
void gc_membership_set_leaving(gc_membership_t *membership);
bool gc_membership_leaving(const gc_membership_t *membership);

/*
 * A read of the configuration, started at this time (monotonic), returned this
 * version.
 */
void gc_membership_on_config_read(gc_membership_t *membership,
				  struct timespec started, uint64_t version);
/*
 * A read of the configuration, started at this time (monotonic), failed. If
 * this daemon knows no other, the failed read confirms its version as of that
 * time: a confirmation that needed no input would outlast a pause of the
 * daemon.
 */
void gc_membership_on_config_read_failed(gc_membership_t *membership,
					 struct timespec started);
/* This daemon now has the version's content. False if it is not newer. */
bool gc_membership_adopt(gc_membership_t *membership, uint64_t version);
uint64_t gc_membership_version(const gc_membership_t *membership);
/*
 * The time until which this daemon's version is confirmed; all zero if it is
 * not or if a newer version is known.
 */
struct timespec gc_membership_in_effect_until(const gc_membership_t *membership,
					      struct timespec now);
bool gc_membership_in_effect(const gc_membership_t *membership,
			     struct timespec now);
/*
 * True if configuration changes may be accepted: at least half of the known
 * daemons, itself included, answered within confirm_ms. In a fleet that is too
 * large for a full mesh, more than three quarters of a sample must have.
 */
bool gc_membership_may_accept_changes(const gc_membership_t *membership,
				      struct timespec now);
/*
 * True if at least half of the known daemons, itself included, have the
 * version; in a large fleet, as many as for gc_membership_may_accept_changes.
 * From then on no daemon stays confirmed with an older one for longer than
 * confirm_ms, as any majority includes a daemon that has this one.
 */
bool gc_membership_acknowledged(const gc_membership_t *membership,
				struct timespec now, uint64_t version);
/* True if this daemon watches the key-value service for its failure domain. */
bool gc_membership_is_watcher(const gc_membership_t *membership,
			      struct timespec now);
/*
 * True if a daemon that is not a watcher should read the configuration, as its
 * confirmation is about to expire. Random with many daemons, so that they do
 * not read all at once.
 */
bool gc_membership_config_read_due(const gc_membership_t *membership,
				   struct timespec now);
/* Name of the live peer with the newest version, empty if none is newer. */
gc_str_t gc_membership_choose_pull_peer(const gc_membership_t *membership,
					struct timespec now);

/* Count of known daemons, itself included, without leaving peers. */
size_t gc_membership_known(const gc_membership_t *membership);
/* Calls fn for this daemon, then for each peer. */
void gc_membership_foreach(const gc_membership_t *membership,
			   struct timespec now,
			   void (*fn)(void *ctx, const gc_member_info_t *info),
			   void *ctx);
/* The peer URL of the daemon; empty if the daemon or its URL is unknown. */
gc_str_t gc_membership_peer_url(const gc_membership_t *membership,
				gc_str_t name);

#endif
