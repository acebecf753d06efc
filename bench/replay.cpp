#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

#include "bench/support/replay.hpp"

using namespace dotterelstack;

namespace {

std::vector<bench::policy> make_policies(bool ablations) {
    using bench::pick_rule;
    std::vector<bench::policy> out{
        {.name = "round robin", .pick = pick_rule::round_robin},
        {.name = "least loaded by report", .pick = pick_rule::least_reported},
        {.name = "first come, first served", .fair = false, .prefill_engines = 3, .plan_roles = true},
        {.name = "fixed roles, all mixed"},
        {.name = "fixed roles, 3 prefill", .prefill_engines = 3},
        {.name = "planned roles", .prefill_engines = 3, .plan_roles = true},
        {.name = "planned roles and capacity", .prefill_engines = 3, .plan_roles = true, .plan_capacity = true},
    };
    if (ablations) {
        const auto add = [&](std::string name, auto change) {
            bench::policy it{.name = std::move(name), .prefill_engines = 3, .plan_roles = true};
            change(it);
            out.push_back(std::move(it));
        };
        add("- 2 samples", [](auto &it) { it.routing.samples = 2; });
        add("- 4 samples", [](auto &it) { it.routing.samples = 4; });
        add("- all sampled", [](auto &it) { it.routing.samples = 100; });
        add("- no outstanding cost", [](auto &it) { it.routing.outstanding_cost = 0; });
        add("- outstanding cost x 3", [](auto &it) { it.routing.outstanding_cost *= 3; });
        add("- start from all mixed", [](auto &it) { it.prefill_engines = 0; });
        add("- no failure cost", [](auto &it) { it.routing.failure_cost = 0; });
        add("- no prefix index", [](auto &it) { it.routing.prefix_capacity = 0; });
        add("- link of 316 MB/s", [](auto &it) {
            it.transfer.bytes_per_second = 316e6;
            it.roles.transfer_rate = 316e6 / it.transfer.bytes_per_token;
        });
        add("- no demand margin", [](auto &it) { it.roles.demand_margin = 0; });
    }
    return out;
}

std::string line(const bench::policy &rules, const bench::replay_result &it, bool markdown) {
    char buf[256];
    (void)std::snprintf(buf, sizeof buf,
                        markdown ? "| %s | %.1f | %.2f | %.1f | %d | %.1f | %.0f | %d/%d |\n"
                                 : "%-28s %8.1f %10.2f %8.1f %8d %10.1f %12.0f %6d/%d\n",
                        rules.name.c_str(), 100 * it.goodput, it.first_token_p95, 100 * it.gaps_kept, it.role_changes,
                        100 * it.worst_service, it.engine_seconds, it.moved, it.hand_overs);
    return buf;
}

constexpr auto plain_head =
    "policy                        goodput  first p95  gaps ok  changes  worst org  engine-s/Mt  moved\n";
constexpr auto markdown_head = "| policy | goodput % | first token p95 s | gaps kept % | role changes | worst "
                               "organisation % | engine-s per million "
                               "tokens | hand-overs moved |\n|---|---|---|---|---|---|---|---|\n";

} // namespace

int main(int argc, char **argv) {
    cxxopts::Options options{"bench_replay", "Replays workloads against fake engines and compares policies."};
    options.add_options()("markdown", "Also write the table to this file", cxxopts::value<std::string>())(
        "seed", "Seed of workloads and policies", cxxopts::value<std::uint64_t>()->default_value("20261204"))(
        "seconds", "Length of each workload", cxxopts::value<double>()->default_value("300"))(
        "ablations", "Also run the router with parts switched off")("only", "Only workloads whose name contains this",
                                                                    cxxopts::value<std::string>()->default_value(""));
    const auto args = options.parse(argc, argv);
    const auto seed = args["seed"].as<std::uint64_t>();
    std::string markdown;
    for (const auto &load : bench::make_workloads(seed, args["seconds"].as<double>())) {
        if (load.name.find(args["only"].as<std::string>()) == std::string::npos) {
            continue;
        }
        std::cout << "\n" << load.name << " (" << load.arrivals.size() << " requests)\n" << plain_head;
        markdown +=
            "\n**" + load.name + "** (" + std::to_string(load.arrivals.size()) + " requests)\n\n" + markdown_head;
        for (const auto &rules : make_policies(args.count("ablations") != 0)) {
            const auto result = bench::replay(load, rules, seed);
            std::cout << line(rules, result, false) << std::flush;
            markdown += line(rules, result, true);
        }
    }
    if (args.count("markdown") != 0) {
        std::ofstream{args["markdown"].as<std::string>()} << markdown;
    }
    return 0;
}
