/*
 * Guards against a request that is seen where a stricter reader sees none: after a head
 * or body that can be read in two ways, nothing may be taken for a request.
 */
#include <cstring>
#include <string>
#include <vector>

#include <talloc.h>

#include <rapidcheck.h>

extern "C" {
#include "lib/http_message.h"
}

namespace
{

/* A second reading of a connection's bytes, which ends at the first byte that isn't
 * plainly of a request (RFC 9112). */
class strict_reader
{
      public:
	explicit strict_reader(const std::string &bytes) : bytes_(bytes)
	{
	}

	size_t count()
	{
		size_t n = 0;

		while (read_request())
			n++;
		return n;
	}

      private:
	const std::string &bytes_;
	size_t at_ = 0;

	static bool is_token(const std::string &text)
	{
		for (char c : text)
			if (!g_ascii_isalnum(c) &&
			    !std::strchr("!#$%&'*+-.^_`|~", c))
				return false;
		return !text.empty();
	}

	static bool is_digits(const std::string &text)
	{
		return !text.empty() && text.size() < 10 &&
		       text.find_first_not_of("0123456789") ==
			       std::string::npos;
	}

	/* A single LF may end a line, too. */
	bool read_line(std::string &line)
	{
		size_t end = bytes_.find('\n', at_);

		if (end == std::string::npos)
			return false;
		line = bytes_.substr(at_, end - at_);
		at_ = end + 1;
		if (!line.empty() && line.back() == '\r')
			line.pop_back();
		for (char c : line)
			if ((static_cast<unsigned char>(c) < 0x20 &&
			     c != '\t') ||
			    c == 0x7f)
				return false;
		return true;
	}

	bool read_request_line()
	{
		std::string line;
		size_t first, last;

		do {
			if (!read_line(line))
				return false;
		} while (line.empty());
		first = line.find(' ');
		last = line.rfind(' ');
		if (first == std::string::npos || last == first)
			return false;
		std::string method = line.substr(0, first);
		std::string target = line.substr(first, last - first);
		std::string version = line.substr(last + 1);

		/* A recipient may take several spaces for one. */
		target.erase(0, target.find_first_not_of(' '));
		target.erase(target.find_last_not_of(' ') + 1);
		return is_token(method) && method != "CONNECT" &&
		       method != "TRACE" && !target.empty() &&
		       target.find(' ') == std::string::npos &&
		       (version == "HTTP/1.1" || version == "HTTP/1.0");
	}

	/* False if a line is no header, or a header may be read otherwise. */
	bool read_headers(std::string &length, std::string &coding)
	{
		std::string line;

		for (;;) {
			if (!read_line(line))
				return false;
			if (line.empty())
				return true;
			size_t colon = line.find(':');

			if (colon == std::string::npos ||
			    !is_token(line.substr(0, colon)))
				return false;
			std::string value = line.substr(colon + 1);

			value.erase(0, value.find_first_not_of(" \t"));
			value.erase(value.find_last_not_of(" \t") + 1);
			if (!note_framing(line.substr(0, colon), value, length,
					  coding))
				return false;
		}
	}

	static bool note_framing(const std::string &name,
				 const std::string &value, std::string &length,
				 std::string &coding)
	{
		if (g_ascii_strcasecmp(name.c_str(), "content-length") == 0) {
			if (!length.empty() || !is_digits(value))
				return false;
			length = value;
		}
		if (g_ascii_strcasecmp(name.c_str(), "transfer-encoding") ==
		    0) {
			if (!coding.empty() ||
			    g_ascii_strcasecmp(value.c_str(), "chunked") != 0)
				return false;
			coding = value;
		}
		return length.empty() || coding.empty();
	}

	bool read_chunks()
	{
		std::string line, length, coding;

		for (;;) {
			if (!read_line(line))
				return false;
			size_t end = std::min(line.find_first_not_of(
						      "0123456789abcdefABCDEF"),
					      line.size());

			if (end == 0 || end > 7 ||
			    (end < line.size() && line[end] != ';' &&
			     line[end] != ' '))
				return false;
			size_t size = std::stoul(line, nullptr, 16);

			if (size == 0)
				return read_headers(length, coding);
			if (bytes_.size() - at_ < size)
				return false;
			at_ += size;
			if (!read_line(line) || !line.empty())
				return false;
		}
	}

	bool read_request()
	{
		std::string length, coding;

		if (!read_request_line() || !read_headers(length, coding))
			return false;
		if (!coding.empty())
			return read_chunks();
		size_t size = length.empty() ? 0 : std::stoul(length);

		if (bytes_.size() - at_ < size)
			return false;
		at_ += size;
		return true;
	}
};

/* As lib/caller_listener.c reads a connection. */
size_t count_seen(const std::string &bytes, size_t step)
{
	TALLOC_CTX *mem = talloc_new(nullptr);
	gc_http_message_t *message =
		gc_http_message_create(mem, GC_HTTP_MESSAGE_REQUEST);
	size_t at = 0;
	size_t n = 0;

	while (at < bytes.size() &&
	       gc_http_message_state(message) <= GC_HTTP_MESSAGE_BODY) {
		size_t len = std::min(step, bytes.size() - at);

		at += gc_http_message_feed(message, {bytes.data() + at, len});
		if (gc_http_message_state(message) ==
		    GC_HTTP_MESSAGE_COMPLETE) {
			n++;
			gc_http_message_reset(message);
		}
	}
	talloc_free(mem);
	return n;
}

std::string pick(const std::vector<std::string> &texts)
{
	return *rc::gen::elementOf(texts);
}

/* Plain in three of four cases, so that what follows is reached. */
std::string mostly(const std::string &plain,
		   const std::vector<std::string> &others)
{
	return *rc::gen::inRange(0, 4) > 0 ? plain : pick(others);
}

std::string arbitrary_header(const std::string &end)
{
	static const std::vector<std::string> names = {"Content-Length",
						       "content-length",
						       "Transfer-Encoding",
						       "X",
						       "Content-Length ",
						       " Content-Length",
						       "Content\tLength",
						       "",
						       "Host",
						       "Connection",
						       "Upgrade"};
	static const std::vector<std::string> values = {"0",
							"3",
							"03",
							"+3",
							"-3",
							"3,3",
							"3, 3",
							"0x3",
							"3 ",
							"",
							"chunked",
							"Chunked",
							"xchunked",
							"chunked, chunked",
							"identity",
							"chunked\t",
							std::string("a\0b", 3),
							"a\rb",
							"a\x01z",
							"a\x7fz",
							"a" + end + " b",
							"close",
							"upgrade",
							"99999999999999999999",
							"18446744073709551619"};

	return pick(names) + mostly(":", {"", " :", ":\t", "::"}) +
	       mostly(" ", {"", "\t", "  "}) + pick(values) + end;
}

std::string arbitrary_body(const std::string &end)
{
	static const std::string inner =
		"POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

	return pick(
		{"", "abc", inner, "3" + end + "abc" + end + "0" + end + end,
		 "3;x=y" + end + "abc" + end + "0" + end + "T: v" + end + end,
		 "3 " + end + "abc" + end + "0" + end + end,
		 "0x3" + end + "abc" + end + "0" + end + end,
		 " 3" + end + "abc" + end + "0" + end + end,
		 "3" + end + "abcd" + end + "0" + end + end,
		 "3\n\nabc" + end + "0" + end + end,
		 "0" + end + "Content-Length: 3" + end + end,
		 "fffffffffffffffff" + end + "abc" + end,
		 "0" + end + " folded" + end + end});
}

std::string arbitrary_request()
{
	std::string end = mostly("\r\n", {"\n", "\r", "\r\r\n", "\n\r"});
	std::string text =
		mostly("", {"\r\n", "\n", " ", "\r"}) +
		mostly("POST", {"GET", "CONNECT", "TRACE", "PRI", "post",
				"HEAD", "G@T", "PATCH"}) +
		mostly(" ", {"  ", "\t", ""}) +
		mostly("/a", {"*", "h:80", "", "/a b", "/\x7f", "http://h/a"}) +
		mostly(" ", {"  ", "\t", ""}) +
		mostly("HTTP/1.1", {"HTTP/1.0", "HTTP/2.0", "HTTP/1.10",
				    "HTTP/11", "http/1.1", ""}) +
		end + "Host: h" + end;
	int n = *rc::gen::inRange(0, 4);

	for (int i = 0; i < n; i++)
		text += arbitrary_header(end);
	return text + end + arbitrary_body(end);
}

} // namespace

int main()
{
	return rc::check("no more requests than a strict reader sees",
			 []() {
				 std::string bytes;
				 int n = *rc::gen::inRange(1, 4);

				 for (int i = 0; i < n; i++)
					 bytes += arbitrary_request();
				 size_t strict = strict_reader(bytes).count();

				 RC_LOG() << bytes << std::endl;
				 for (size_t step :
				      {size_t{1}, size_t{7}, bytes.size()})
					 RC_ASSERT(count_seen(bytes, step) <=
						   strict);
			 })
		       ? 0
		       : 1;
}
