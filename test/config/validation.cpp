#include "config/validation.hpp"

#include <doctest/doctest.h>

#include "config/sample.hpp"

using namespace dotterelstack;

namespace {

std::string problems_of(const config::declarations &value) {
    settings::problem_list problems{"f"};
    config::validate(value, problems);
    return problems.to_error("x").message;
}

std::string problems_of_step(const config::declarations &before, const config::declarations &after) {
    settings::problem_list problems{"f"};
    config::validate_step(before, after, problems);
    return problems.to_error("x").message;
}

bool has(const std::string &text, std::string_view part) {
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against references to missing items, and against one key that belongs to two organisations.
TEST_CASE("references, hashes, models and rates are checked together") {
    CHECK(problems_of(test::sample_declarations()).empty());
    auto it = test::sample_declarations();
    it.keys["key-south"].sha256 = it.keys["key-north"].sha256;
    it.keys["lost"] = {"lost", "east", base::sha256_hex("x"), false};
    it.rows[{"north", "cutting"}] = {"north", "cutting", 1, 1, 1, 0, 0, 0};
    it.rows[{"north", "booking"}].prompt_tokens_per_second = 5;
    it.rows[{"south", "drafting"}].generated_tokens_per_second = 0;
    it.services["copy"] = {"copy", config::service_kind::model, {"m1"}, false, {{"GET", "/a**", false, false}}, {}};
    it.planned["p"] = {"p", config::planned_kind::drain, "", "", "", "", "a", config::planned_state::requested, ""};
    const auto got = problems_of(it);
    for (const auto *part : {"key/key-south sha256", "key/lost organisation", "row/north/cutting service",
                             "row/north/booking tokens", "row/south/drafting tokens", "also of service copy",
                             "'**' only as the last segment", "planned/p: expected either a backend or a host"}) {
        CHECK_MESSAGE(has(got, part), part, " missing in ", got);
    }
}

// Guards against a withdrawn key that becomes valid again, and against a key that moves to another organisation.
TEST_CASE("keys are permanent and planned changes do not restart") {
    auto before = test::sample_declarations();
    before.keys["key-north"].withdrawn = true;
    before.planned["p"] = {"p", config::planned_kind::drain, "b", "", "", "", "a", config::planned_state::done, ""};
    CHECK(problems_of_step(before, before).empty());
    auto after = before;
    after.keys["key-north"].withdrawn = false;
    CHECK(has(problems_of_step(before, after), "a withdrawn key stays withdrawn"));
    after = before;
    after.keys.erase("key-north");
    CHECK(has(problems_of_step(before, after), "key/key-north: expected a key that stays listed"));
    after = before;
    after.keys["key-south"].organisation = "north";
    CHECK(has(problems_of_step(before, after), "another organisation or hash"));
    after = before;
    after.planned["p"].state = config::planned_state::requested;
    CHECK(has(problems_of_step(before, after), "a finished change stays finished"));
    after.planned["p"].state = config::planned_state::cancelled;
    CHECK(problems_of_step(before, after).empty());
    before.planned["p"].kind = after.planned["p"].kind = config::planned_kind::replace;
    CHECK(has(problems_of_step(before, after), "a finished change stays finished"));
    after.planned.clear();
    CHECK(problems_of_step(before, after).empty());
    before.planned["p"].state = config::planned_state::running;
    CHECK(has(problems_of_step(before, after), "a finished or cancelled change"));
}
