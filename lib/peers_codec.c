/*
 * Encoding of peer messages: msgpack arrays that begin with the kind. Arrays
 * without names, because heartbeats are most of the control traffic.
 */
#include "lib/peers_codec.h"
#include "core/types.h"

/* Longest URL that is taken from a message. */
#define URL_MAX 128

typedef enum kind {
	KIND_HEARTBEAT = 1,
	KIND_CONFIG_PULL = 2,
	KIND_CONFIG = 3,
	KIND_ENGINE_DOWN = 4,
} kind_t;

typedef enum flag {
	FLAG_LEAVING = 1,
	FLAG_WANTS_REPLY = 2,
	FLAG_VOTER = 4,
} flag_t;

/* kind, name, version, age, stamp, echo, known, flags; a full one: 3 more. */
#define SHORT_HEARTBEAT 8
#define FULL_HEARTBEAT	12
#define HINT_SIZE	4

/* Reads the elements of an array in order; wrong ones clear ok. */
typedef struct reader {
	const msgpack_object_array *array;
	uint32_t next;
	bool ok;
} reader_t;

static void pack_str(msgpack_packer *packer, gc_str_t s);
static void pack_hint(msgpack_packer *packer,
		      const gc_member_descriptor_t *hint);
static void begin(msgpack_packer *packer, msgpack_sbuffer *buffer,
		  size_t elements, kind_t kind, gc_str_t self);
static const msgpack_object *next_object(reader_t *reader,
					 msgpack_object_type type);
static gc_str_t read_str(reader_t *reader, size_t max);
static gc_str_t read_name(reader_t *reader);
static uint64_t read_uint(reader_t *reader);
static int64_t read_int(reader_t *reader);
static bool decode_array(const msgpack_object_array *array,
			 const gc_peers_ops_t *ops, void *ctx);
static bool decode_heartbeat(reader_t *reader, gc_str_t from,
			     const gc_peers_ops_t *ops, void *ctx);
static void read_hints(reader_t *reader, gc_heartbeat_t *heartbeat);
static bool decode_config_pull(reader_t *reader, gc_str_t from,
			       const gc_peers_ops_t *ops, void *ctx);
static bool decode_config(reader_t *reader, gc_str_t from,
			  const gc_peers_ops_t *ops, void *ctx);
static bool decode_engine_down(reader_t *reader, gc_str_t from,
			       const gc_peers_ops_t *ops, void *ctx);

static void pack_str(msgpack_packer *packer, gc_str_t s)
{
	msgpack_pack_str(packer, s.len);
	msgpack_pack_str_body(packer, s.data, s.len);
}

static void begin(msgpack_packer *packer, msgpack_sbuffer *buffer,
		  size_t elements, kind_t kind, gc_str_t self)
{
	msgpack_packer_init(packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(packer, elements);
	msgpack_pack_uint8(packer, kind);
	pack_str(packer, self);
}

static void pack_hint(msgpack_packer *packer,
		      const gc_member_descriptor_t *hint)
{
	msgpack_pack_array(packer, HINT_SIZE);
	pack_str(packer, hint->name);
	pack_str(packer, hint->failure_domain);
	pack_str(packer, hint->peer_url);
	pack_str(packer, hint->caller_url);
}

void gc_peers_encode_heartbeat(msgpack_sbuffer *buffer,
			       const gc_heartbeat_t *heartbeat)
{
	bool full = heartbeat->from.peer_url.len > 0;
	msgpack_packer packer;
	unsigned int flags = 0;

	if (heartbeat->from.leaving)
		flags |= FLAG_LEAVING;
	if (heartbeat->wants_reply)
		flags |= FLAG_WANTS_REPLY;
	if (heartbeat->voter)
		flags |= FLAG_VOTER;
	begin(&packer, buffer, full ? FULL_HEARTBEAT : SHORT_HEARTBEAT,
	      KIND_HEARTBEAT, heartbeat->from.name);
	msgpack_pack_uint64(&packer, heartbeat->version);
	msgpack_pack_int64(&packer, heartbeat->confirmed_age_ms);
	msgpack_pack_uint64(&packer, heartbeat->stamp);
	msgpack_pack_uint64(&packer, heartbeat->echo);
	msgpack_pack_uint32(&packer, heartbeat->known);
	msgpack_pack_uint8(&packer, flags);
	if (!full)
		return;
	pack_str(&packer, heartbeat->from.failure_domain);
	pack_str(&packer, heartbeat->from.peer_url);
	pack_str(&packer, heartbeat->from.caller_url);
	msgpack_pack_array(&packer, heartbeat->n_hints);
	for (size_t i = 0; i < heartbeat->n_hints; i++)
		pack_hint(&packer, &heartbeat->hints[i]);
}

void gc_peers_encode_config_pull(msgpack_sbuffer *buffer, gc_str_t self,
				 gc_str_t reply_to)
{
	msgpack_packer packer;

	begin(&packer, buffer, 3, KIND_CONFIG_PULL, self);
	pack_str(&packer, reply_to);
}

void gc_peers_encode_config(msgpack_sbuffer *buffer, gc_str_t self,
			    uint64_t version, gc_str_t document)
{
	msgpack_packer packer;

	begin(&packer, buffer, 4, KIND_CONFIG, self);
	msgpack_pack_uint64(&packer, version);
	pack_str(&packer, document);
}

void gc_peers_encode_engine_down(msgpack_sbuffer *buffer, gc_str_t self,
				 gc_str_t engine, int64_t age_ms)
{
	msgpack_packer packer;

	begin(&packer, buffer, 4, KIND_ENGINE_DOWN, self);
	pack_str(&packer, engine);
	msgpack_pack_int64(&packer, age_ms);
}

static const msgpack_object *next_object(reader_t *reader,
					 msgpack_object_type type)
{
	const msgpack_object *object;

	if (!reader->ok || reader->next >= reader->array->size) {
		reader->ok = false;
		return NULL;
	}
	object = &reader->array->ptr[reader->next++];
	if (object->type == type)
		return object;
	/* A positive number is always encoded as unsigned. */
	if (type == MSGPACK_OBJECT_NEGATIVE_INTEGER &&
	    object->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return object;
	reader->ok = false;
	return NULL;
}

static gc_str_t read_str(reader_t *reader, size_t max)
{
	const msgpack_object *object = next_object(reader, MSGPACK_OBJECT_STR);

	if (!object)
		return GC_STR_EMPTY;
	if (object->via.str.size > max) {
		reader->ok = false;
		return GC_STR_EMPTY;
	}
	return (gc_str_t){object->via.str.ptr, object->via.str.size};
}

/* Names become keys of tables, so they hold no NUL and are not empty. */
static gc_str_t read_name(reader_t *reader)
{
	gc_str_t name = read_str(reader, GC_NAME_MAX - 1);

	if (name.len == 0 || memchr(name.data, '\0', name.len))
		reader->ok = false;
	return name;
}

static uint64_t read_uint(reader_t *reader)
{
	const msgpack_object *object =
		next_object(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return object ? object->via.u64 : 0;
}

static int64_t read_int(reader_t *reader)
{
	const msgpack_object *object =
		next_object(reader, MSGPACK_OBJECT_NEGATIVE_INTEGER);

	return object ? object->via.i64 : 0;
}

bool gc_peers_decode(gc_str_t message, const gc_peers_ops_t *ops, void *ctx)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, message.data, message.len,
				 &offset) == MSGPACK_UNPACK_SUCCESS &&
	     offset == message.len &&
	     unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	     decode_array(&unpacked.data.via.array, ops, ctx);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

static bool decode_array(const msgpack_object_array *array,
			 const gc_peers_ops_t *ops, void *ctx)
{
	reader_t reader = {.array = array, .ok = true};
	uint64_t kind = read_uint(&reader);
	gc_str_t from = read_name(&reader);

	if (!reader.ok)
		return false;
	switch (kind) {
	case KIND_HEARTBEAT:
		return decode_heartbeat(&reader, from, ops, ctx);
	case KIND_CONFIG_PULL:
		return decode_config_pull(&reader, from, ops, ctx);
	case KIND_CONFIG:
		return decode_config(&reader, from, ops, ctx);
	case KIND_ENGINE_DOWN:
		return decode_engine_down(&reader, from, ops, ctx);
	default:
		return false;
	}
}

static bool decode_heartbeat(reader_t *reader, gc_str_t from,
			     const gc_peers_ops_t *ops, void *ctx)
{
	gc_heartbeat_t heartbeat = {.from = {.name = from,
					     .failure_domain = GC_STR_EMPTY,
					     .peer_url = GC_STR_EMPTY,
					     .caller_url = GC_STR_EMPTY}};
	uint64_t flags;

	heartbeat.version = read_uint(reader);
	heartbeat.confirmed_age_ms = read_int(reader);
	heartbeat.stamp = read_uint(reader);
	heartbeat.echo = read_uint(reader);
	heartbeat.known = read_uint(reader);
	flags = read_uint(reader);
	heartbeat.from.leaving = flags & FLAG_LEAVING;
	heartbeat.wants_reply = flags & FLAG_WANTS_REPLY;
	heartbeat.voter = flags & FLAG_VOTER;
	if (reader->array->size == FULL_HEARTBEAT) {
		heartbeat.from.failure_domain =
			read_str(reader, GC_NAME_MAX - 1);
		heartbeat.from.peer_url = read_str(reader, URL_MAX);
		heartbeat.from.caller_url = read_str(reader, URL_MAX);
		read_hints(reader, &heartbeat);
	} else if (reader->array->size != SHORT_HEARTBEAT) {
		return false;
	}
	if (!reader->ok)
		return false;
	ops->heartbeat(ctx, &heartbeat);
	return true;
}

static void read_hints(reader_t *reader, gc_heartbeat_t *heartbeat)
{
	const msgpack_object *hints = next_object(reader, MSGPACK_OBJECT_ARRAY);

	if (!hints || hints->via.array.size > GC_MEMBERSHIP_MAX_HINTS) {
		reader->ok = false;
		return;
	}
	for (uint32_t i = 0; i < hints->via.array.size; i++) {
		const msgpack_object *item = &hints->via.array.ptr[i];
		reader_t inner = {.array = &item->via.array, .ok = true};
		gc_member_descriptor_t *hint;

		if (item->type != MSGPACK_OBJECT_ARRAY) {
			reader->ok = false;
			return;
		}
		hint = &heartbeat->hints[i];
		hint->name = read_name(&inner);
		hint->failure_domain = read_str(&inner, GC_NAME_MAX - 1);
		hint->peer_url = read_str(&inner, URL_MAX);
		hint->caller_url = read_str(&inner, URL_MAX);
		reader->ok = reader->ok && inner.ok;
		heartbeat->n_hints++;
	}
}

static bool decode_config_pull(reader_t *reader, gc_str_t from,
			       const gc_peers_ops_t *ops, void *ctx)
{
	gc_str_t reply_to = read_str(reader, URL_MAX);

	if (!reader->ok)
		return false;
	ops->config_pull(ctx, from, reply_to);
	return true;
}

static bool decode_config(reader_t *reader, gc_str_t from,
			  const gc_peers_ops_t *ops, void *ctx)
{
	uint64_t version = read_uint(reader);
	gc_str_t document = read_str(reader, SIZE_MAX);

	if (!reader->ok)
		return false;
	ops->config(ctx, from, version, document);
	return true;
}

static bool decode_engine_down(reader_t *reader, gc_str_t from,
			       const gc_peers_ops_t *ops, void *ctx)
{
	gc_str_t engine = read_name(reader);
	int64_t age_ms = read_int(reader);

	if (!reader->ok)
		return false;
	ops->engine_down(ctx, from, engine, age_ms);
	return true;
}
