#include "gateway/size_time_model.hpp"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace dotterelstack;

namespace {

struct machine {
    double fixed_ms{0};
    double tokens_per_ms{1};
    std::mt19937 random{11};

    /** @return Size and time of one prompt, with 10% of noise. */
    std::pair<double, double> prompt() {
        const double tokens = std::exp(std::normal_distribution<double>{8, 1}(random));
        const double noise = std::normal_distribution<double>{1, 0.1}(random);
        return {tokens, (fixed_ms + tokens / tokens_per_ms) * noise};
    }
};

/** @return Share of 200 prompts whose time is predicted within 30%. */
double accuracy(machine &of, const gateway::size_time_model &model) {
    int good = 0;
    for (int n = 0; n < 200; ++n) {
        const auto [tokens, taken] = of.prompt();
        good += std::abs(model.expected_ms(tokens) - taken) <= 0.3 * taken ? 1 : 0;
    }
    return good / 200.0;
}

} // namespace

// Engines other than the ones that the initial values describe: slow, fast, and with a long fixed part. Guards against
// placements by constant rates, which are right for one kind of engine only.
TEST_CASE("the times of unknown engines are predicted within 30% after 100 prompts") {
    for (machine engine : {machine{30, 37}, machine{60, 15}, machine{10, 300}, machine{90, 150}}) {
        const gateway::size_time_model constant{{30, 37}};
        gateway::size_time_model learned{{30, 37}};
        for (int n = 0; n < 100; ++n) {
            const auto [tokens, taken] = engine.prompt();
            learned.record(tokens, taken);
        }
        CAPTURE(engine.fixed_ms);
        CAPTURE(engine.tokens_per_ms);
        CHECK(accuracy(engine, learned) >= 0.9);
        if (engine.tokens_per_ms != 37) {
            CHECK(accuracy(engine, constant) < accuracy(engine, learned));
        }
    }
}

// One server stalls for seconds. Guards against taking every server for slow.
TEST_CASE("a single measurement moves the estimate by a bounded amount") {
    gateway::size_time_model it{{30, 100}};
    for (int n = 0; n < 100; ++n) {
        it.record(1000, 40);
    }
    it.record(1000, 60'000);
    CHECK(it.expected_ms(1000) < 50);
}

// Prompts of one size only say nothing about the rate. Guards against a division by zero and negative rates.
TEST_CASE("measurements of equal size keep the rate of the prior") {
    gateway::size_time_model it{{30, 100}};
    for (int n = 0; n < 500; ++n) {
        it.record(500, 35);
    }
    CHECK(it.expected_ms(500) == doctest::Approx(35).epsilon(0.1));
    CHECK(it.expected_ms(10'000) > it.expected_ms(500));
    CHECK(it.expected_ms(0) >= 0);
}
