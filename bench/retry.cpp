#include <benchmark/benchmark.h>

#include <random>
#include <string>
#include <vector>

#include "retry/retry_budget.hpp"
#include "retry/retry_policy.hpp"

using namespace std::chrono_literals;
using dotterelstack::base::boottime_clock;
using namespace dotterelstack::retry;

namespace {

/** @brief A request that fails once and is answered at the second attempt, with the given number of organisations. */
void fail_and_retry(benchmark::State &state) {
    const boottime_clock clock;
    retry_budget budget{clock, {.minimum_per_second = 1e9}};
    std::mt19937_64 random{20261204};
    std::uniform_real_distribution<double> unit{0.0, 1.0};
    retry_policy policy{clock, budget, [&] { return unit(random); }};
    std::vector<std::string> organisations;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        organisations.push_back("organisation-" + std::to_string(n));
    }
    for (auto _ : state) {
        const auto &organisation = organisations[random() % organisations.size()];
        auto request = policy.begin({true, true, false}, organisation, "drafting", clock.now() + 10s);
        benchmark::DoNotOptimize(policy.decide(request, {evidence_kind::broken_stream, 7}));
        benchmark::DoNotOptimize(policy.decide(request, {evidence_kind::answered}));
    }
}
BENCHMARK(fail_and_retry)->Arg(8)->Arg(940);

} // namespace

BENCHMARK_MAIN();
