#include "config/table.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "config/sample.hpp"

using namespace dotterelstack;

namespace {

constexpr std::string_view header = "organisation,service,weight,concurrency,requests_per_second,"
                                    "prompt_tokens_per_second,generated_tokens_per_second,max_queue\n";

std::string problems_of(const std::string &text) {
    settings::problem_list problems{"table.csv"};
    (void)config::parse_table(text, problems);
    return problems.to_error("x").message;
}

} // namespace

// Guards against a value that changes when a table is written and read.
TEST_CASE("random tables are unchanged after writing and reading CSV") {
    CHECK(rc::check("parse after format gives the same rows", [] {
        std::map<config::row_name, config::row> rows;
        const auto values = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(1, 1'000'000), rc::gen::inRange(1, 100'000)));
        for (const auto &[a, b] : values) {
            const auto name = "o" + std::to_string(a % 17);
            rows[{name, "s"}] = {name, "s", b / 1000.0, static_cast<std::uint64_t>(a), a / 7.0, b / 3.0, b * 1.5, 3};
        }
        settings::problem_list problems{"t"};
        RC_ASSERT(config::parse_table(config::format_table(rows), problems) == rows);
        RC_ASSERT(problems.empty());
    }));
}

// Guards against misreading a table that a spreadsheet has saved with quotes, CRLF, a byte order mark, another column
// order or decimal commas.
TEST_CASE("all variants that spreadsheets write are read alike") {
    const auto rows = test::sample_declarations().rows;
    const auto plain = config::format_table(rows);
    std::string quoted = "\xEF\xBB\xBF\"";
    for (const char it : plain) {
        quoted += it == ',' ? "\",\"" : it == '\n' ? "\"\r\n\"" : std::string(1, it);
    }
    quoted.pop_back();
    settings::problem_list problems{"t"};
    CHECK(config::parse_table(quoted, problems) == rows);
    const auto other = config::parse_table(
        "service;organisation;max_queue;weight;concurrency;requests_per_second;prompt_tokens_per_second;"
        "generated_tokens_per_second\r\n\r\ndrafting;north;20;1;8;10,0;5000;500,00\r\n",
        problems);
    REQUIRE(other.size() == 1);
    CHECK(other.begin()->second == rows.at({"north", "drafting"}));
    CHECK(problems.items().empty());
}

// Guards against errors without a location, and against a damaged line that is silently skipped.
TEST_CASE("every wrong cell is reported with line and column") {
    const auto got = problems_of(std::string{header} + "north,drafting,1,0,10,1,1,1\n"
                                                       "north,\"a\nb\",heavy,8,10,1,1,1\n"
                                                       "north,x,1,1\n"
                                                       "south,x,1,1,1,0,0,0\n"
                                                       "south,x,2,1,1,0,0,0\n");
    for (const auto *part :
         {"table.csv: line 2 column 4 (concurrency): expected a whole number from 1 to 1000000, found 0",
          "line 3 column 2 (service)", "line 3 column 3 (weight)", "line 5: expected 8 as in the header",
          "line 7: expected one row per organisation and service, found south and x as on line 6"}) {
        CHECK_MESSAGE(got.find(part) != std::string::npos, part, " missing in ", got);
    }
    CHECK(problems_of("").find("a header line") != std::string::npos);
    CHECK(problems_of(std::string{header} + "\"north").find("a closing quote") != std::string::npos);
}

// Guards against a misspelt, repeated or missing column, whose limit would silently have a default value.
TEST_CASE("the header must have every column once") {
    const auto got = problems_of("organisation,service,wieght,concurrency,concurrency,requests_per_second\n");
    for (const auto *part : {"line 1 column 3: expected each known column once, found header \"wieght\"",
                             "line 1 column 5", "no column weight", "no column max_queue"}) {
        CHECK_MESSAGE(got.find(part) != std::string::npos, part, " missing in ", got);
    }
}
