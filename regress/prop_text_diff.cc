/*
 * Guards against a value that other daemons put together wrongly from its edits, and
 * against edits of other writers that reach beyond the former value.
 */
#include <algorithm>
#include <string>

#include <glib.h>
#include <talloc.h>

#include <rapidcheck.h>

extern "C" {
#include "core/text_diff.h"
}

namespace
{

constexpr size_t max_bytes = 1 << 20;

gc_str_t view(const std::string &text)
{
	return {text.data(), text.size()};
}

int arbitrary(size_t below)
{
	return *rc::gen::inRange(0, static_cast<int>(below));
}

/* Parts that are much alike, as in a list of routes. */
std::string arbitrary_part()
{
	return "{\"name\":\"r-" + std::to_string(arbitrary(1000)) +
	       "\",\"host\":\"h.example\",\"path_prefix\":\"/" +
	       std::to_string(arbitrary(50)) +
	       "/\",\"kind\":\"idempotent\",\"max_attempts\":5,\"timeout_ms\":"
	       "1500,\"anonymous\":false},";
}

std::string arbitrary_text()
{
	std::string text;
	int n = arbitrary(60);

	for (int i = 0; i < n; i++)
		text += arbitrary_part();
	return text;
}

std::string edited(std::string text)
{
	int n = arbitrary(6);

	for (int i = 0; i < n; i++) {
		size_t at = static_cast<size_t>(arbitrary(text.size() + 1));
		size_t len = static_cast<size_t>(arbitrary(300));

		if (arbitrary(2))
			text.erase(at, len);
		if (arbitrary(2))
			text.insert(std::min(at, text.size()),
				    arbitrary_part().substr(0, len));
	}
	return text;
}

std::string apply(const std::string &former, const GArray *edits, bool &ok)
{
	TALLOC_CTX *mem = talloc_new(nullptr);
	gc_str_t text;
	std::string result;

	ok = gc_text_apply(
		mem, view(former),
		reinterpret_cast<const gc_text_edit_t *>(edits->data),
		edits->len, max_bytes, &text);
	if (ok)
		result.assign(text.data, text.len);
	talloc_free(mem);
	return result;
}

void check_round_trip()
{
	std::string former = arbitrary_text();
	std::string text = arbitrary(8) ? edited(former) : arbitrary_text();
	GArray *edits = g_array_new(FALSE, FALSE, sizeof(gc_text_edit_t));
	bool found = gc_text_diff(view(former), view(text), edits);
	bool ok;
	std::string result = apply(former, edits, ok);

	g_array_unref(edits);
	RC_PRE(found);
	RC_ASSERT(ok);
	RC_ASSERT(result == text);
}

/* What doesn't fit is refused, whatever the numbers are. */
void check_foreign_edits()
{
	std::string former = arbitrary_text();
	std::string insert = arbitrary_part();
	GArray *edits = g_array_new(FALSE, FALSE, sizeof(gc_text_edit_t));
	size_t left = former.size();
	bool fits = true;
	int n = arbitrary(5);
	bool ok;

	for (int i = 0; i < n; i++) {
		auto number = [&]() -> size_t {
			return arbitrary(6) ? static_cast<size_t>(arbitrary(
						      former.size() / 2 + 1))
					    : *rc::gen::element<size_t>(
						      SIZE_MAX, SIZE_MAX / 2,
						      former.size(),
						      former.size() + 1);
		};
		gc_text_edit_t edit = {number(), number(), view(insert)};

		fits = fits && edit.keep <= left &&
		       edit.drop <= left - edit.keep;
		if (fits)
			left -= edit.keep + edit.drop;
		g_array_append_val(edits, edit);
	}
	apply(former, edits, ok);
	g_array_unref(edits);
	RC_ASSERT(ok == fits);
}

} // namespace

int main()
{
	bool ok = rc::check("edits make the text from the former one",
			    check_round_trip);

	ok = rc::check("edits that don't fit are refused",
		       check_foreign_edits) &&
	     ok;
	return ok ? 0 : 1;
}
