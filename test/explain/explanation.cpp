#include "explain/explanation.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dotterelstack;

namespace {

explain::log_line line(std::string event, std::vector<std::pair<std::string, std::string>> fields) {
    return {"20261204 06:15:49.1", "", std::move(event), "", std::move(fields)};
}

} // namespace

// Guards against a booking that is reported as not run although nobody knows.
TEST_CASE("a broken connection is explained with the backend server and the evidence") {
    const std::vector lines{
        line("request_placed", {{"request", "b1"}, {"backend", "desk-1"}}),
        line("attempt_failed", {{"request", "b1"},
                                {"backend", "desk-1"},
                                {"outcome", "broken"},
                                {"evidence", "unknown"},
                                {"after_ms", "41"}}),
        line("request_refused", {{"request", "b1"}, {"status", "502"}, {"reason", "outcome_unknown"}}),
        line("request_finished", {{"request", "b1"}, {"status", "502"}, {"outcome", "outcome_unknown"}})};
    const auto why = explain::explain_request(lines);
    CHECK(why.ending == "502 outcome_unknown");
    CHECK(why.cause.find("may have run") != std::string::npos);
    CHECK(why.cause.find("desk-1 ended as broken after 41 ms, evidence unknown") != std::string::npos);
}

// Guards against a request that is taken as finished because its end is missing from the log.
TEST_CASE("requests without an end are told apart from unknown ones") {
    const std::vector lines{line("request_placed", {{"request", "b1"}})};
    CHECK(explain::explain_request(lines).ending == "no end in this log");
    CHECK(explain::explain_request(lines).cause != explain::explain_request({}).cause);
}

// Guards against an explanation of the first refusal of a request that was answered later.
TEST_CASE("the last end counts, and a resume is named") {
    const std::vector lines{line("request_resumed", {{"request", "d1"}}),
                            line("request_finished", {{"request", "d1"}, {"status", "200"}, {"outcome", "served"}})};
    const auto why = explain::explain_request(lines);
    CHECK(why.ending == "200 served");
    CHECK(why.cause.find("resumed") != std::string::npos);
}
