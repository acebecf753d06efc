#include "metrics/registry.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace std::chrono_literals;

// Guards against histograms that mix organisations or lose values outside their range.
TEST_CASE("each organisation and service has its own histogram with cumulative buckets") {
    metrics::registry it;
    it.observe(metrics::timing::first_token, "a", "s", 5ms);
    it.observe(metrics::timing::first_token, "a", "s", 500s);
    it.observe(metrics::timing::first_token, "a", "s", 1us);
    it.observe(metrics::timing::first_token, "b", "s", 5ms);
    it.count("refusals_total", "reason=\"rate\"");
    it.count("refusals_total", "reason=\"rate\"", 2);
    const auto text = it.text();
    CHECK(text.find("dotterelstack_first_token_seconds_count{organisation=\"a\",service=\"s\"} 3\n") !=
          std::string::npos);
    CHECK(text.find("dotterelstack_first_token_seconds_bucket{organisation=\"a\",service=\"s\",le=\"100\"} 2\n") !=
          std::string::npos);
    CHECK(text.find("dotterelstack_first_token_seconds_count{organisation=\"b\",service=\"s\"} 1\n") !=
          std::string::npos);
    CHECK(text.find("dotterelstack_refusals_total{reason=\"rate\"} 3\n") != std::string::npos);
}
