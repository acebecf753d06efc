#include <array>
#include <benchmark/benchmark.h>
#include <cstdio>
#include <malloc.h>
#include <random>
#include <string>

#include "routing/router.hpp"

using namespace dotterelstack;

namespace {

constexpr int models = 14;
constexpr int domains = 5;

struct fleet {
    base::manual_clock clock;
    routing::router router{clock, [engine = std::mt19937_64{7}]() mutable { return engine(); }};
    std::vector<std::string> model_names;

    explicit fleet(int backends) {
        for (int it = 0; it < models; ++it) {
            model_names.push_back("model-" + std::to_string(it));
        }
        for (int it = 0; it < backends; ++it) {
            const auto name = "runner-" + std::to_string(it);
            router.update_backend({.name = name,
                                   .agent_address = "10.0.0.1:7000",
                                   .incarnation = "5f0c6d1e9a7b4c3d5f0c6d1e9a7b4c3d",
                                   .failure_domain = "domain-" + std::to_string(it / models % domains),
                                   .service = "drafting",
                                   .models = {model_names[static_cast<std::size_t>(it % models)]},
                                   .total_blocks = 240});
            (void)router.apply_report(name,
                                      {.seq = 1, .running = static_cast<std::uint32_t>(it % 40), .free_blocks = 100});
        }
    }

    [[nodiscard]] routing::route_request request(std::uint64_t n, std::span<const std::uint64_t> blocks) const {
        return {.service = "drafting",
                .model = model_names[n % models],
                .prefix_blocks = blocks,
                .prompt_tokens = 4500,
                .max_tokens = 300,
                .failure_domain = "domain-1"};
    }
};

/** Choices without a cached prefix. */
void choose_short(benchmark::State &state) {
    fleet all{static_cast<int>(state.range(0))};
    std::uint64_t n = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(all.router.choose(all.request(n++, {})));
    }
}

/** Choices for prompts of eight blocks that five backend servers hold. */
void choose_with_prefix(benchmark::State &state) {
    fleet all{static_cast<int>(state.range(0))};
    std::vector<std::array<std::uint64_t, 8>> prompts(1024);
    std::mt19937_64 random{11};
    for (std::size_t it = 0; it < prompts.size(); ++it) {
        for (auto &block : prompts[it]) {
            block = random();
        }
        for (int holder = 0; holder < 5; ++holder) {
            const auto request = all.request(it, prompts[it]);
            const auto found = all.router.choose(request);
            const auto id = std::to_string(it) + "." + std::to_string(holder);
            all.router.started(id, found.value().backend->name, request);
            all.router.finished(id, found.value().backend->name, routing::outcome::completed);
        }
    }
    std::uint64_t n = 0;
    for (auto _ : state) {
        const auto it = n++ % prompts.size();
        benchmark::DoNotOptimize(all.router.choose(all.request(it, prompts[it])));
    }
}

/** A whole request: choose, started, progress, finished. */
void life_of_request(benchmark::State &state) {
    fleet all{static_cast<int>(state.range(0))};
    std::uint64_t n = 0;
    for (auto _ : state) {
        const auto request = all.request(n, {});
        const auto id = std::to_string(n++);
        const auto found = all.router.choose(request);
        all.router.started(id, found.value().backend->name, request);
        all.router.progress(id);
        all.router.finished(id, found.value().backend->name, routing::outcome::completed);
    }
}

void apply_report(benchmark::State &state) {
    fleet all{static_cast<int>(state.range(0))};
    std::uint64_t n = 0;
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(state.range(0)));
    for (int it = 0; it < state.range(0); ++it) {
        names.push_back("runner-" + std::to_string(it));
    }
    for (auto _ : state) {
        const auto seq = 2 + n / names.size();
        benchmark::DoNotOptimize(all.router.apply_report(names[n % names.size()], {.seq = seq, .running = 3}));
        ++n;
    }
}

/** Worst case: nothing has memory, so that the whole pool is scanned before the refusal. */
void refuse(benchmark::State &state) {
    fleet all{static_cast<int>(state.range(0))};
    for (int it = 0; it < state.range(0); ++it) {
        (void)all.router.apply_report("runner-" + std::to_string(it), {.seq = 2, .running = 60, .free_blocks = 0});
    }
    std::uint64_t n = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(all.router.choose(all.request(n++, {})));
    }
}

#define DOTTERELSTACK_SIZES ->Arg(50)->Arg(500)->Arg(5000)->Arg(7600)
BENCHMARK(choose_short) DOTTERELSTACK_SIZES;
BENCHMARK(choose_with_prefix) DOTTERELSTACK_SIZES;
BENCHMARK(life_of_request) DOTTERELSTACK_SIZES;
BENCHMARK(apply_report) DOTTERELSTACK_SIZES;
BENCHMARK(refuse) DOTTERELSTACK_SIZES;

} // namespace

int main(int argc, char **argv) {
    benchmark::Initialize(&argc, argv);
    for (const int n : {500, 7600}) {
        const auto before = mallinfo2();
        const fleet all{n};
        const auto after = mallinfo2();
        const auto total =
            after.uordblks + after.hblkhd - before.uordblks - before.hblkhd - all.router.prefixes().memory_bytes();
        std::printf("%d backend servers: %zu allocated bytes each, prefix index %.1f bytes per block\n", n,
                    total / static_cast<std::size_t>(n),
                    static_cast<double>(all.router.prefixes().memory_bytes()) / (std::size_t{1} << 17U));
    }
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
