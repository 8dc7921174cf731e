/* Compression of values between daemons, by GLib's converters. */
#include <stdint.h>

#include <gio/gio.h>

#include "lib/deflate.h"

/* Of zlib; the fastest. */
#define LEVEL		 1
#define MIN_OUTPUT_BYTES ((size_t)16384)

static bool convert(GConverter *converter, gc_str_t input, size_t max,
		    GByteArray *output);

gc_str_t gc_deflate(TALLOC_CTX *mem, gc_str_t text)
{
	g_autoptr(GZlibCompressor) compressor =
		g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, LEVEL);
	GByteArray *output = g_byte_array_new();
	gc_str_t bytes;

	convert(G_CONVERTER(compressor), text, SIZE_MAX, output);
	bytes = gc_str_dup(mem,
			   (gc_str_t){(const char *)output->data, output->len});
	g_byte_array_unref(output);
	return bytes;
}

bool gc_inflate(TALLOC_CTX *mem, gc_str_t bytes, size_t max, gc_str_t *text)
{
	g_autoptr(GZlibDecompressor) decompressor =
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
	GByteArray *output = g_byte_array_new();
	bool ok = convert(G_CONVERTER(decompressor), bytes, max, output);

	if (ok)
		*text = gc_str_dup(mem, (gc_str_t){(const char *)output->data,
						   output->len});
	g_byte_array_unref(output);
	return ok;
}

/* False if the input is invalid or ends early, or if the output exceeds max. */
static bool convert(GConverter *converter, gc_str_t input, size_t max,
		    GByteArray *output)
{
	size_t used = 0;
	size_t made = 0;
	GConverterResult result = G_CONVERTER_CONVERTED;

	while (result != G_CONVERTER_FINISHED) {
		gsize n_read = 0;
		gsize n_written = 0;

		g_byte_array_set_size(output,
				      (guint)MAX(2 * made, MIN_OUTPUT_BYTES));
		result = g_converter_convert(
			converter, input.data + used, input.len - used,
			output->data + made, output->len - made,
			G_CONVERTER_INPUT_AT_END, &n_read, &n_written, NULL);
		if (result == G_CONVERTER_ERROR)
			return false;
		used += n_read;
		made += n_written;
		if (made > max)
			return false;
	}
	g_byte_array_set_size(output, (guint)made);
	return true;
}
