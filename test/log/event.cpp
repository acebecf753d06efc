#include "log/event.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "log/capture.hpp"

using namespace dotterelstack;

namespace {

std::string level_text(log::severity level) {
    return level == log::severity::info ? "info" : level == log::severity::warning ? "warning" : "error";
}

} // namespace

// Guards against a number or name that is given twice, and against an unsorted table.
TEST_CASE("event numbers increase and names are unique") {
    std::set<std::string_view> names;
    unsigned int last = 0;
    for (const auto &it : log::catalogue) {
        CHECK(it.number > last);
        CHECK(names.insert(it.name).second);
        CHECK_FALSE(it.meaning.empty());
        CHECK_FALSE(it.remedy.empty());
        last = it.number;
    }
}

// Guards against a page that lists other events than the program writes.
TEST_CASE("docs/log-events.md lists exactly the catalogue") {
    const auto root = std::filesystem::path{__FILE__}.parent_path().parent_path().parent_path();
    std::ifstream file{root / "docs/log-events.md"};
    REQUIRE(file);
    std::vector<std::string> rows;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| E")) {
            rows.push_back(line);
        }
    }
    std::vector<std::string> expected;
    for (const auto &it : log::catalogue) {
        std::ostringstream out;
        out << "| E" << it.number << " | " << it.name << " | " << level_text(it.level) << " | " << it.meaning << " | "
            << it.remedy << " |";
        expected.push_back(out.str());
    }
    CHECK(rows == expected);
}

// Guards against values that split a line or forge another field.
TEST_CASE("an event is one line and its values are escaped") {
    CHECK(log::format("lease_lost", {{"lease", "planner"}, {"fence", 7}}) ==
          "E1203 event=lease_lost lease=planner fence=7");
    CHECK(log::format("host_lost", {{"host", "a\nE1203 event=\"x\""}}) ==
          "E1303 event=host_lost host=\"a\\x0aE1203 event=\\\"x\\\"\"");
    CHECK(log::format("host_lost", {{"host", std::string(1000, 'x')}}).size() < 300);
}

// Guards against a caller's key in the log when an address or message contains one.
TEST_CASE("a value that contains a key is redacted") {
    CHECK(log::format("request_unauthorised", {{"target", "/v1?key=dsk_0123"}}) ==
          "E1404 event=request_unauthorised target=[redacted]");
}

// Guards against events that do not reach glog.
TEST_CASE("write hands one line to glog") {
    test::log_capture seen;
    log::write("config_adopted", {{"version", 3}});
    REQUIRE(seen.lines().size() == 1);
    CHECK(seen.lines().front() == "E1101 event=config_adopted version=3");
}
