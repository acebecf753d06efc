#include <benchmark/benchmark.h>

#include <malloc.h>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "limits/admission.hpp"
#include "limits/quota_bank.hpp"
#include "limits/quota_ledger.hpp"
#include "limits/share_coordinator.hpp"
#include "limits/share_holder.hpp"

using namespace std::chrono_literals;
using dotterelstack::base::boottime_clock;
using dotterelstack::base::instant;
using dotterelstack::base::manual_clock;
using namespace dotterelstack::limits;

namespace {

constexpr std::size_t services = 14;
/** @brief Length of the request ids in use: 128 bits in hexadecimal. */
constexpr std::size_t id_length = 32;

std::string id_of(std::size_t n) {
    auto out = std::to_string(n);
    return std::string(id_length - out.size(), '0') + out;
}

/** @brief Rows, names and ids that outlive the measured objects. */
struct table {
    explicit table(std::size_t rows) {
        for (std::size_t n = 0; n < rows; ++n) {
            organisations.push_back("organisation-" + std::to_string(n / services));
            service_names.push_back("service-" + std::to_string(n % services));
        }
        for (std::size_t n = 0; n < 8192; ++n) {
            ids.push_back(id_of(n));
        }
    }
    [[nodiscard]] row_key row(std::size_t n) const { return {organisations[n], service_names[n]}; }
    [[nodiscard]] std::size_t size() const { return organisations.size(); }
    std::vector<std::string> organisations;
    std::vector<std::string> service_names;
    std::vector<std::string> ids;
};

constexpr row_limits limits{1.0, 1000, 1e6, 1e9, 1e9, 1000};

std::size_t heap_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void fill(admission &subject, const table &rows) {
    for (std::size_t n = 0; n < rows.size(); ++n) {
        subject.set_row(rows.row(n), limits);
    }
}

/** @brief Submit, serve, finish and poll with free slots: the path of a request that need not wait. */
void admit_and_finish(benchmark::State &state) {
    const table rows{static_cast<std::size_t>(state.range(0))};
    const boottime_clock clock;
    const auto before = heap_bytes();
    admission subject{clock};
    fill(subject, rows);
    state.counters["bytes_per_row"] = static_cast<double>(heap_bytes() - before) / static_cast<double>(state.range(0));
    for (std::size_t n = 0; n < services; ++n) {
        subject.set_capacity("service-" + std::to_string(n), 100);
    }
    std::mt19937_64 random{20261204};
    std::size_t n = 0;
    for (auto _ : state) {
        const auto &id = rows.ids[n++ % rows.ids.size()];
        const auto row = rows.row(random() % rows.size());
        benchmark::DoNotOptimize(subject.submit({id, row, 200, 100, 0, clock.now() + 10s}));
        subject.add_served_tokens(id, 200, 80);
        subject.finish(id);
        benchmark::DoNotOptimize(subject.poll());
    }
}
BENCHMARK(admit_and_finish)->Arg(50)->Arg(500)->Arg(5000)->Arg(13'160);

/** @brief Steady state under contention: 4,096 requests wait, each step queues one and dispatches one. */
void queue_and_dispatch(benchmark::State &state) {
    const table rows{static_cast<std::size_t>(state.range(0))};
    const boottime_clock clock;
    admission subject{clock};
    fill(subject, rows);
    std::mt19937_64 random{20261204};
    std::size_t next = 0;
    const auto submit = [&] {
        const auto row = rows.row(random() % rows.size());
        return subject.submit({rows.ids[next++ % rows.ids.size()], row, 200, 100, 0, clock.now() + 1h});
    };
    constexpr std::size_t waiting = 4096;
    const auto before = heap_bytes();
    for (std::size_t n = 0; n < waiting; ++n) {
        benchmark::DoNotOptimize(submit());
    }
    state.counters["bytes_per_waiting"] = static_cast<double>(heap_bytes() - before) / static_cast<double>(waiting);
    for (std::size_t n = 0; n < services; ++n) {
        subject.set_capacity("service-" + std::to_string(n), 8);
    }
    std::vector<std::string> running;
    for (auto &it : subject.poll()) {
        running.push_back(std::move(it.request));
    }
    std::size_t at = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(submit());
        auto &ends = running[at++ % running.size()];
        subject.add_served_tokens(ends, 200, 80);
        subject.finish(ends);
        for (auto &it : subject.poll()) {
            ends = std::move(it.request);
        }
    }
}
BENCHMARK(queue_and_dispatch)->Arg(50)->Arg(500)->Arg(5000);

/** @brief Refusal of a request whose row's queue is full. */
void refuse(benchmark::State &state) {
    const table rows{static_cast<std::size_t>(state.range(0))};
    const boottime_clock clock;
    admission subject{clock};
    for (std::size_t n = 0; n < rows.size(); ++n) {
        subject.set_row(rows.row(n), {.max_queue = 0});
    }
    std::size_t n = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            subject.submit({rows.ids[0], rows.row(n++ % rows.size()), 200, 100, 0, clock.now() + 10s}));
    }
}
BENCHMARK(refuse)->Arg(50)->Arg(500)->Arg(5000);

/** @brief One demand and its answer, with the given number of entries that all borrow from the row. */
void demand_and_answer(benchmark::State &state) {
    const auto entries = static_cast<std::size_t>(state.range(0));
    manual_clock clock;
    std::vector<std::string> names;
    for (std::size_t n = 0; n < entries; ++n) {
        names.push_back("entry-" + std::to_string(n));
    }
    const auto epoch = plan_epoch({}, names, {}, {});
    const row_key row{"large", "drafting"};
    constexpr share_amounts limit{1000, 100'000, 100'000'000, 100'000'000};
    share_coordinator coordinator{clock};
    coordinator.set_limit(row, limit);
    coordinator.set_epoch(epoch);
    std::vector<share_holder> holders;
    for (const auto &it : names) {
        holders.emplace_back(clock, it);
        holders.back().set_limit(row, limit);
        holders.back().set_epoch(epoch);
    }
    clock.advance(epoch_settling_time);
    std::size_t n = 0;
    for (auto _ : state) {
        coordinator.confirm(epoch.number, clock.now());
        auto &holder = holders[n++ % entries];
        const auto grant = coordinator.answer(row, *holder.demand(row, limit, {}));
        benchmark::DoNotOptimize(grant && holder.apply(row, *grant));
        clock.advance(500ms / entries);
    }
}
BENCHMARK(demand_and_answer)->Arg(3)->Arg(30)->Arg(340);

/** @brief Quotas with the given number of organisations. */
quota_list quotas_of(std::size_t organisations) {
    quota_list out;
    for (std::size_t n = 0; n < organisations; ++n) {
        out.emplace_back("organisation-" + std::to_string(n),
                         quota{.rate = 100'000, .burst = 100'000, .unit = quota_unit::tokens});
    }
    return out;
}

/** @brief One decision on a request, with the given number of organisations that have quotas. */
void quota_decision_of_one(benchmark::State &state) {
    const auto all = quotas_of(static_cast<std::size_t>(state.range(0)));
    const boottime_clock clock;
    quota_ledger ledger{clock};
    ledger.set_quotas(all);
    std::mt19937_64 random{20261204};
    for (auto _ : state) {
        benchmark::DoNotOptimize(ledger.admit(all[random() % all.size()].first, 400));
    }
}
BENCHMARK(quota_decision_of_one)->Arg(16)->Arg(940);

/** @brief A report with 16 rows and its answer, at a bank of the given number of gateways and 940 organisations. */
void quota_report_and_answer(benchmark::State &state) {
    const auto gateways = static_cast<std::size_t>(state.range(0));
    const auto all = quotas_of(940);
    manual_clock clock;
    quota_bank bank{clock};
    bank.set_quotas(all);
    bank.set_gateways(gateways);
    std::vector<std::unique_ptr<quota_ledger>> ledgers;
    for (std::size_t n = 0; n < gateways; ++n) {
        ledgers.push_back(std::make_unique<quota_ledger>(clock));
        ledgers.back()->set_quotas(all);
        ledgers.back()->set_gateways(gateways);
    }
    std::size_t n = 0;
    for (auto _ : state) {
        const auto at = n++ % gateways;
        for (std::size_t row = 0; row < 16; ++row) {
            benchmark::DoNotOptimize(ledgers[at]->admit(all[row].first, 400));
        }
        auto report = ledgers[at]->report();
        report.gateway = "gateway-" + std::to_string(at);
        ledgers[at]->on_answer(bank.answer(report));
        clock.advance(quota_interval / gateways);
    }
}
BENCHMARK(quota_report_and_answer)->Arg(31)->Arg(340);

} // namespace

BENCHMARK_MAIN();
