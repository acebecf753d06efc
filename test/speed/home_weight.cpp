#include "speed/home_weight.hpp"

#include <cmath>
#include <doctest/doctest.h>
#include <vector>

#include "speed/speed_record.hpp"

using namespace dotterelstack;

// Each change of a weight moves prefixes. Guards against weights that change with each measurement, and against weights
// that rest on too few.
TEST_CASE("the weight of a home changes in coarse steps with hysteresis") {
    speed::home_weight it;
    const auto weight_at = [&it](double time, double samples = 200) {
        it.update({std::log(time), samples}, 0);
        return it.value();
    };
    CHECK(weight_at(1.67, 10) == 1);
    CHECK(weight_at(1.3) == 1);
    CHECK(weight_at(1.4) == 0.6);
    CHECK(weight_at(1.2) == 0.6);
    CHECK(weight_at(1.1) == 1);
    CHECK(weight_at(0.7) == 1.6);
    CHECK(weight_at(0.8) == 1.6);
    CHECK(weight_at(1.67) == 1);
    CHECK(weight_at(1.67) == 0.6);
    CHECK(weight_at(1.67, 20) == 0.6);
    CHECK(weight_at(1.67, 5) == 1);
}

// Thirty gateways that each have few measurements. Guards against records that grow with the servers without bound, and
// against a mean in which a gateway with one measurement counts as much as one with a hundred.
TEST_CASE("records hold a bounded number of servers and are pooled by their samples") {
    speed::speed_record many;
    for (int n = 0; n < 1000; ++n) {
        many["server-" + std::to_string(n)] = {n % 2 == 0 ? 0.5 : 0.01, 3.0 + n};
    }
    speed::trim(many);
    CHECK(many.size() == speed::max_recorded);
    CHECK(many.contains("server-998"));
    CHECK_FALSE(many.contains("server-999"));
    CHECK_FALSE(many.contains("server-10"));
    const std::vector<speed::speed_record> all{{{"a", {0.6, 99}}}, {{"a", {-0.4, 1}}, {"b", {0.2, 5}}}};
    const auto it = speed::pooled(all);
    CHECK(it.at("a").log_time == doctest::Approx(0.59));
    CHECK(it.at("a").samples == 100);
    CHECK(it.at("b").samples == 5);
}
