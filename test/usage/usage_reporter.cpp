#include "usage/usage_reporter.hpp"

#include <doctest/doctest.h>

#include "store/memory_store.hpp"

using namespace dotterelstack;
using usage::reporter_step;
using namespace std::chrono_literals;

namespace {

struct fixture {
    base::manual_clock clock;
    store::memory_store store;
    usage::usage_reporter reporter{clock, {.reporter = "a"}, 0};

    void seal(std::uint64_t window, std::uint64_t requests) {
        usage::sealed_window value;
        value.window = window;
        value.figures.push_back({"org", "drafting", 0, requests, 10, 20});
        REQUIRE(store.put(usage::sealed_key(window), usage::to_json(value).dump(), store::absent));
    }

    // Performs reads until a report is to be sent; null if there is none.
    nlohmann::json next_report() {
        for (int n = 0; n < 10; ++n) {
            const auto action = reporter.next(3);
            if (action.step == reporter_step::send) {
                return action.value;
            }
            if (action.step == reporter_step::read_mark) {
                reporter.on_mark(store.get(action.key));
            } else if (action.step == reporter_step::read_sealed) {
                reporter.on_sealed(store.get(action.key));
            } else {
                return {};
            }
        }
        return {};
    }
};

} // namespace

// Guards against reporting figures that are not sealed, changing figures in a repetition, and skipping a window.
TEST_CASE("sealed figures are repeated unchanged until accepted, then the next window follows") {
    fixture it;
    CHECK(it.next_report().is_null());
    it.clock.advance(5s);
    it.seal(1, 7);
    it.seal(2, 8);
    const auto first = it.next_report();
    CHECK(first.at("window") == 1);
    CHECK(first.at("figures").at(0).at("requests") == 7);
    it.reporter.on_sent(base::fail(base::error_kind::unknown_outcome, "no_answer", ""));
    CHECK(it.next_report().is_null());
    it.clock.advance(2s);
    CHECK(it.next_report() == first);
    it.reporter.on_sent(http::response{500, {}, ""});
    it.clock.advance(2s);
    CHECK(it.next_report() == first);
    CHECK(it.reporter.rejections() == 1);
    it.reporter.on_sent(http::response{200, {}, ""});
    const auto mark = it.reporter.next(3);
    CHECK(mark.step == reporter_step::write_mark);
    CHECK(mark.key == "usage/reported/1");
    it.reporter.on_mark_written(it.store.put(mark.key, mark.value.dump(), store::absent));
    CHECK(it.next_report().at("window") == 2);
}

// Guards against repeating a report that a previous lease holder has completed.
TEST_CASE("windows that are marked as reported are skipped") {
    fixture it;
    it.seal(1, 7);
    it.seal(2, 8);
    REQUIRE(it.store.put(usage::reported_key(1), "{}", store::absent));
    CHECK(it.next_report().at("window") == 2);
    CHECK(it.reporter.reported() == 1);
}
