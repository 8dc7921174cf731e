/* Generates prompts: lists of household items and pay histories. */
#include <string.h>

#include "gcload.h"

static const char *const items[] = {
	"couch",      "mattress", "box-spring", "fridge",   "freezer",
	"dishwasher", "dryer",	  "washer",	"recliner", "bookcase",
	"treadmill",  "carpet",	  "table",	"stove",    "water-heater",
};
static const char *const places[] = {
	"curb", "alley", "driveway", "side-gate", "loading-dock", "basement",
};
static const char *const pay_lines_en[] = {
	"basic pay",	  "overtime",	  "night enhancement",
	"tax code 1257L", "pension 8.3%", "arrears of the pay award",
	"sick pay",	  "student loan", "travel allowance",
};
static const char *const pay_lines_cy[] = {
	"cyflog sylfaenol", "goramser",
	"ychwanegiad nos",  "cod treth C1257L",
	"pensiwn 8.3%",	    "ôl-daliad y dyfarniad cyflog",
	"tâl salwch",	    "benthyciad myfyriwr",
	"lwfans teithio",
};

static void append_household_item(GString *text, int index,
				  const gc_random_t *random);
static void append_pay_line(GString *text, int index,
			    const gc_random_t *random);
/* Counts the spaces: every word of a prompt is followed by one. */
static int count_words(const char *text);

char *make_prompt(const char *kind, int min_words, const gc_random_t *random)
{
	bool payslip = strcmp(kind, "payslip") == 0;
	GString *text = g_string_new(
		payslip ? "Explain the changes of pay in English and Welsh. "
			: "Draft a pickup summary and crew notes. ");

	for (int index = 0; count_words(text->str) < min_words; index++) {
		if (payslip)
			append_pay_line(text, index, random);
		else
			append_household_item(text, index, random);
	}
	return g_string_free(text, FALSE);
}

static void append_household_item(GString *text, int index,
				  const gc_random_t *random)
{
	uint64_t r = random->next(random->ctx);

	g_string_append_printf(text, "%d: %u %s at the %s; ", index + 1,
			       (unsigned int)(r % 4 + 1),
			       items[(r >> 8) % G_N_ELEMENTS(items)],
			       places[(r >> 16) % G_N_ELEMENTS(places)]);
}

static void append_pay_line(GString *text, int index, const gc_random_t *random)
{
	uint64_t r = random->next(random->ctx);
	const char *line =
		index % 2 ? pay_lines_cy[(r >> 8) % G_N_ELEMENTS(pay_lines_cy)]
			  : pay_lines_en[(r >> 8) % G_N_ELEMENTS(pay_lines_en)];

	g_string_append_printf(text, "%u-%02u %s £%u.%02u; ",
			       2024U + (unsigned int)(r % 3),
			       (unsigned int)((r >> 4) % 12 + 1), line,
			       (unsigned int)((r >> 20) % 4000),
			       (unsigned int)((r >> 40) % 100));
}

static int count_words(const char *text)
{
	int words = 0;

	for (const char *c = text; *c; c++)
		words += *c == ' ';
	return words;
}
