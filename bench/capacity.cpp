// Measures what docs/CAPACITY.md extrapolates: bytes and nanoseconds per row, key, backend server, request and record
// at several sizes, and the encoded size of real messages. Prints tables. Usage: bench_capacity

#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "agent/request_table.hpp"
#include "base/clock.hpp"
#include "base/id.hpp"
#include "config/config_log.hpp"
#include "config/config_tracker.hpp"
#include "config/item.hpp"
#include "limits/admission.hpp"
#include "limits/share_coordinator.hpp"
#include "limits/share_holder.hpp"
#include "membership/host_table.hpp"
#include "membership/subset.hpp"
#include "routing/router.hpp"
#include "spread/poll_server.hpp"
#include "spread/poller.hpp"
#include "spread/topology.hpp"
#include "usage/usage_recorder.hpp"
#include "usage/usage_replica_buffer.hpp"

namespace {

using namespace std::chrono_literals;
using namespace dotterelstack;

constexpr std::size_t services = 14;
constexpr std::size_t entries = 340;
constexpr std::array<std::size_t, 4> sizes{50, 500, 5000, 13160};

std::size_t heap_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** @return Mean nanoseconds of processor time of a call; other processes on the host do not count. */
template<typename Function>
double time_of(std::size_t repetitions, Function function) {
    const auto begin = std::clock();
    for (std::size_t n = 0; n < repetitions; ++n) {
        function(n);
    }
    return 1e9 / CLOCKS_PER_SEC * static_cast<double>(std::clock() - begin) / static_cast<double>(repetitions);
}

std::string organisation_of(std::size_t row) {
    return "organisation-" + std::to_string(row / services);
}

std::string service_of(std::size_t row) {
    return "service-" + std::to_string(row % services);
}

std::string id_of(std::size_t n) {
    auto out = std::to_string(n);
    return std::string(32 - out.size(), '0') + out;
}

void line(const char *what, std::size_t count, std::size_t bytes, double nanoseconds) {
    std::printf("| %s | %zu | %zu | %.0f | %.0f |\n", what, count, bytes,
                static_cast<double>(bytes) / static_cast<double>(count), nanoseconds);
    std::fflush(stdout);
}

config::declarations rows_of(std::size_t count) {
    config::declarations out;
    for (std::size_t n = 0; n < count; ++n) {
        const auto organisation = organisation_of(n);
        out.organisations[organisation] = {organisation, ""};
        out.services[service_of(n)] = {
            service_of(n), config::service_kind::model, {"model-" + service_of(n)}, false, {}, {}};
        out.rows[{organisation, service_of(n)}] = {organisation, service_of(n), 1, 8, 20, 10000, 4000, 64};
    }
    return out;
}

config::origin_map origins_of(const config::declarations &values) {
    config::origin_map out;
    for (const auto &it : config::to_items(values)) {
        out[it.first] = {1, id_of(1), "operator@example", "2026-12-04T02:00:00Z"};
    }
    return out;
}

config::state_ptr state_of(config::declarations values) {
    auto origins = origins_of(values);
    return std::make_shared<const config::config_state>(1, id_of(1), std::move(values), std::move(origins));
}

config::change weight_change(const config::state_ptr &state) {
    auto item = std::string{"row/organisation-0/service-0"};
    auto before = config::find_item(state->values(), item);
    auto after = before;
    after["weight"] = 2.0;
    return {2, id_of(2), "operator@example", "2026-12-04T02:00:00Z", {{item, before, after}}};
}

std::size_t snapshot_bytes(const config::config_state &state) {
    std::size_t out = 0;
    for (const auto &it : config::encode_snapshot(state)) {
        out += it.size();
    }
    return out;
}

void configuration() {
    for (const auto count : sizes) {
        const auto before = heap_bytes();
        const auto state = state_of(rows_of(count));
        const auto bytes = heap_bytes() - before;
        const auto change = weight_change(state);
        const auto time = time_of(20, [&](std::size_t) {
            if (!config::apply_change(state, change)) {
                std::puts("change refused");
            }
        });
        line("config_state rows; apply_change", count, bytes, time);
        std::printf("| snapshot JSON of %zu rows | %zu | %zu | %.0f | |\n", count, count, snapshot_bytes(*state),
                    static_cast<double>(snapshot_bytes(*state)) / static_cast<double>(count));
    }
    for (const auto count : sizes) {
        const auto before = heap_bytes();
        const auto state =
            std::make_shared<const config::config_state>(1, id_of(1), rows_of(count), config::origin_map{});
        const auto bytes = heap_bytes() - before;
        const auto change = weight_change(state);
        line("config_state rows without origins; apply_change", count, bytes,
             time_of(20, [&](std::size_t) { (void)config::apply_change(state, change); }));
    }
    for (const auto count : sizes) {
        auto values = rows_of(services);
        for (std::size_t n = 0; n < count; ++n) {
            const auto id = "key-" + std::to_string(n);
            values.keys[id] = {id, "organisation-0", base::sha256_hex(id), false};
        }
        const auto before = heap_bytes();
        const auto state = state_of(values);
        line("config_state keys; find_active_key", count, heap_bytes() - before, time_of(100000, [&](std::size_t n) {
                 (void)state->find_active_key(state->values().keys.begin()->second.sha256);
                 (void)n;
             }));
    }
    for (const auto count : sizes) {
        config::declarations values;
        for (std::size_t n = 0; n < count; ++n) {
            const auto name = "organisation-" + std::to_string(n);
            values.organisations[name] = {name, "a description of about forty characters."};
        }
        const auto before = heap_bytes();
        const auto state = state_of(std::move(values));
        line("config_state organisations", count, heap_bytes() - before, 0);
    }
}

void limit_rows() {
    for (const auto count : sizes) {
        const base::boottime_clock clock;
        const auto before = heap_bytes();
        limits::admission subject{clock};
        for (std::size_t n = 0; n < count; ++n) {
            subject.set_row({organisation_of(n), service_of(n)}, {1.0, 1000, 1e6, 1e9, 1e9, 1000});
        }
        const auto bytes = heap_bytes() - before;
        for (std::size_t n = 0; n < services; ++n) {
            subject.set_capacity(service_of(n), 100);
        }
        line("admission rows; submit + tokens + finish + poll", count, bytes, time_of(20000, [&](std::size_t n) {
                 const auto id = id_of(n);
                 const auto organisation = organisation_of(n % count);
                 const auto service = service_of(n % count);
                 (void)subject.submit({id, {organisation, service}, 200, 100, 0, clock.now() + 10s});
                 subject.add_served_tokens(id, 200, 80);
                 subject.finish(id);
                 (void)subject.poll();
             }));
    }
    for (const auto count : sizes) {
        const base::boottime_clock clock;
        const auto before = heap_bytes();
        limits::share_holder holder{clock, id_of(1)};
        holder.set_epoch({1, {{id_of(1), 2 * entries}}, {}});
        for (std::size_t n = 0; n < count; ++n) {
            holder.set_limit({organisation_of(n), service_of(n)}, {1000, 1000000, 100000000, 100000000});
        }
        line("share_holder rows without demands", count, heap_bytes() - before, 0);
        const auto time = time_of(count, [&](std::size_t n) {
            const auto organisation = organisation_of(n);
            const auto service = service_of(n);
            (void)holder.demand({organisation, service}, {9, 9, 9, 9}, {1, 1, 1, 1});
        });
        line("share_holder rows, each with a demand; demand", count, heap_bytes() - before, time);
    }
    for (const std::size_t members : {std::size_t{50}, std::size_t{500}, std::size_t{5000}, entries}) {
        constexpr std::size_t rows = 39; // 13,160 rows divided among 340 coordinators.
        const base::boottime_clock clock;
        limits::share_epoch epoch{1, {}, {}};
        for (std::size_t n = 0; n < members; ++n) {
            epoch.members.push_back({id_of(n), 2 * members});
        }
        const auto before = heap_bytes();
        limits::share_coordinator coordinator{clock};
        coordinator.set_epoch(epoch);
        for (std::size_t n = 0; n < rows; ++n) {
            coordinator.set_limit({organisation_of(n), service_of(n)}, {1000, 1000000, 100000000, 100000000});
        }
        std::size_t granted = 0;
        const auto time = time_of(2000, [&](std::size_t n) {
            coordinator.confirm(1, clock.now());
            const auto organisation = organisation_of(n % rows);
            const auto service = service_of(n % rows);
            const auto answer = coordinator.answer({organisation, service},
                                                   {1, id_of((n / rows) % members), n + 1, n, {1, 1, 1, 1}, {}});
            granted += answer ? 1 : 0;
        });
        line("share_ledger borrowers (39 rows each); answer", members * rows, heap_bytes() - before, time);
        (void)granted; // The settling time of a first epoch may refuse; the memory is allocated either way.
    }
}

void routing_tables() {
    for (const std::size_t count : {std::size_t{50}, std::size_t{500}, std::size_t{5000}, std::size_t{7600}}) {
        const base::boottime_clock clock;
        std::mt19937_64 random{1};
        const auto before = heap_bytes();
        routing::router_settings settings;
        settings.prefix_capacity = 8;
        routing::router subject{clock, [&random] { return random(); }, settings};
        std::vector<std::string> names;
        for (std::size_t n = 0; n < count; ++n) {
            names.push_back("backend-" + std::to_string(n));
            routing::backend_facts facts;
            facts.name = names.back();
            facts.agent_address = "10.1.2.3:12345";
            facts.incarnation = id_of(n);
            facts.failure_domain = "domain-" + std::to_string(n % 5);
            facts.service = service_of(n);
            facts.models = {"model-" + service_of(n)};
            facts.total_blocks = 1000;
            subject.update_backend(facts);
        }
        const auto report = time_of(50000, [&](std::size_t n) {
            (void)subject.apply_report(names[n % count], {n + 1, 4, 1, 900, 10ms});
        });
        const auto bytes = heap_bytes() - before;
        line("router backend servers; apply_report", count, bytes, report);
        line("router backend servers; choose", count, bytes, time_of(50000, [&](std::size_t n) {
                 const auto service = service_of(n % services);
                 const auto model = "model-" + service;
                 routing::route_request request;
                 request.service = service;
                 request.model = model;
                 request.prompt_tokens = 500;
                 request.max_tokens = 200;
                 request.failure_domain = "domain-1";
                 (void)subject.choose(request);
             }));
    }
    for (const std::size_t count : {std::size_t{1} << 13U, std::size_t{1} << 15U, std::size_t{1} << 17U}) {
        const routing::prefix_index index{count};
        line("prefix_index blocks", count, index.memory_bytes(), 0);
    }
}

void request_memory() {
    for (const auto count : sizes) {
        const base::boottime_clock clock;
        const auto before = heap_bytes();
        agent::request_table subject{clock, id_of(1), 600s};
        const auto time = time_of(count, [&](std::size_t n) {
            const auto id = id_of(n);
            (void)subject.admit(id, 1, subject.incarnation());
            subject.finish(id, 1);
        });
        line("request_table requests; admit + finish", count, heap_bytes() - before, time);
    }
    for (const auto count : sizes) {
        const base::boottime_clock clock;
        const auto before = heap_bytes();
        usage::usage_recorder subject{clock, {id_of(1)}};
        std::vector<usage::usage_record> records;
        const auto time = time_of(count, [&](std::size_t n) {
            records.push_back(subject.record(id_of(n), organisation_of(n % 13160), service_of(n), 500, 345));
            (void)subject.on_held(n + 1, "10.1.2.3:12345");
        });
        records = {};
        line("usage_recorder records; record + on_held", count, heap_bytes() - before, time);
    }
    for (const auto count : sizes) {
        std::vector<usage::usage_record> records;
        for (std::size_t n = 0; n < count; ++n) {
            records.push_back({id_of(n), organisation_of(n * 37 % 13160), service_of(n * 37 % 13160), 500 + n % 1000,
                               345, id_of(1), n + 1, 7});
        }
        const auto before = heap_bytes();
        usage::usage_replica_buffer holder;
        holder.hold(records);
        const auto bytes = heap_bytes() - before;
        line("usage_holder records; to_json of a batch, per record", count, bytes,
             time_of(1, [&](std::size_t) {
                 (void)usage::to_json({id_of(1), 7, records}).dump();
             }) / static_cast<double>(count));
        std::printf("| usage batch of %zu records, JSON | %zu | %zu | %.0f | |\n", count, count,
                    usage::to_json({id_of(1), 7, records}).dump().size(),
                    static_cast<double>(usage::to_json({id_of(1), 7, records}).dump().size()) /
                        static_cast<double>(count));
    }
}

void spread_tables() {
    for (const auto count : sizes) {
        const base::boottime_clock clock;
        spread::withdrawal_log log{1, 20000};
        const auto before = heap_bytes();
        for (std::size_t n = 0; n < count; ++n) {
            const std::vector<std::string> key{base::sha256_hex(std::to_string(n))};
            (void)log.add(key);
        }
        line("withdrawal_log keys", count, heap_bytes() - before, 0);
    }
    for (const std::size_t count : {std::size_t{50}, std::size_t{100}, std::size_t{250}}) {
        const base::boottime_clock clock;
        const spread::withdrawal_log log{1};
        const auto before = heap_bytes();
        spread::poll_server subject{clock, log};
        for (std::size_t n = 0; n < count; ++n) {
            (void)subject.on_poll(n, {0, log.end(), true, 2s});
        }
        const auto bytes = heap_bytes() - before;
        line("poll_server polls; on_poll + on_time (one heartbeat)", count, bytes, time_of(50000, [&](std::size_t n) {
                 (void)subject.on_poll(n % count, {0, log.end(), true, 2s});
                 (void)subject.on_time();
             }));
    }
    for (const std::size_t count : {std::size_t{50}, std::size_t{100}, entries}) {
        std::vector<spread::process> all;
        for (std::size_t n = 0; n < count; ++n) {
            all.push_back({"10.0.0." + std::to_string(n) + ":4000", "domain-" + std::to_string(n % 5)});
        }
        line("order_sources over entries", count, 0, time_of(200, [&](std::size_t n) {
                 (void)spread::order_sources({std::to_string(n), "domain-1"}, spread::process_role::agent, all);
             }));
    }
}

void membership_tables() {
    for (const std::size_t count : {std::size_t{50}, std::size_t{500}, std::size_t{5000}, std::size_t{7940}}) {
        const base::boottime_clock clock;
        std::vector<membership::listed_host> list;
        for (std::size_t n = 0; n < count; ++n) {
            const auto name = "host-" + std::to_string(n);
            list.push_back({name, "agent", "10.0." + std::to_string(n) + ":4000", "domain-" + std::to_string(n % 5)});
        }
        const auto before = heap_bytes();
        membership::host_table table{clock};
        (void)table.on_list(list);
        const auto bytes = heap_bytes() - before;
        line("host_table hosts; on_heartbeat", count, bytes,
             time_of(50000, [&](std::size_t n) { (void)table.on_heartbeat(list[n % count].host, false); }));
        line("host_table hosts; on_time", count, bytes, time_of(20, [&](std::size_t) { (void)table.on_time(); }));
        line("host_table hosts; on_list", count, bytes, time_of(20, [&](std::size_t) { (void)table.on_list(list); }));
    }
    for (const std::size_t count : {std::size_t{54}, std::size_t{540}, std::size_t{5400}}) {
        std::vector<std::string> names;
        for (std::size_t n = 0; n < entries; ++n) {
            names.push_back("10.0.0." + std::to_string(n) + ":4000");
        }
        membership::service_agents service{"s", {}};
        for (std::size_t n = 0; n < count; ++n) {
            service.agents.push_back("host-" + std::to_string(n));
        }
        line("choose_subset among 340 entries, agents of a service", count, 0,
             time_of(3, [&](std::size_t n) { (void)membership::choose_subset(names[n], names, service, 4); }));
    }
}

void messages() {
    std::puts("\n| message | bytes |\n|---|---|");
    const auto state = state_of(rows_of(services));
    const auto change = weight_change(state);
    nlohmann::json value = change;
    std::printf("| change of one row, JSON | %zu |\n", value.dump().size());
    const nlohmann::json status = {{"incarnation", id_of(1)},
                                   {"host", "host-1234"},
                                   {"failure_domain", "domain-1"},
                                   {"draining", false},
                                   {"backends",
                                    {{{"name", "backend-1234"},
                                      {"service", "service-3"},
                                      {"models", {"model-3"}},
                                      {"role", "mixed"},
                                      {"running", 17},
                                      {"queued", 2},
                                      {"free_blocks", 812},
                                      {"total_blocks", 1000},
                                      {"report_seq", 123456}}}}};
    std::printf("| GET /status response of an agent with one runner | %zu |\n", status.dump().size());
    const usage::usage_record record{id_of(1), "organisation-123", "service-3", 500, 345, id_of(2), 123456, 7000};
    std::printf("| POST /usage/hold, one record | %zu |\n", usage::hold_body({record}).dump().size());
    const nlohmann::json poll = {{"version", 34000}, {"age_ms", 1500}, {"withdrawals", {123456789012345, 17}}};
    std::printf("| poll reply without changes | %zu |\n", poll.dump().size());
}

} // namespace

int main() {
    std::puts("| what; timed call | count | bytes | bytes each | ns per call |\n|---|---|---|---|---|");
    configuration();
    limit_rows();
    routing_tables();
    request_memory();
    spread_tables();
    membership_tables();
    messages();
    return 0;
}
