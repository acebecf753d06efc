#pragma once

#include <algorithm>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "gateway/forwarder.hpp"
#include "limits/quota_bank.hpp"
#include "metrics/registry.hpp"
#include "platform/http_protocol.hpp"
#include "support/fake_caller.hpp"

namespace dotterelstack::test {

using namespace std::chrono_literals;

/** @brief Records the calls of the forwarder to backend servers. */
struct fake_backends final : gateway::backend_port {
    struct sent_call {
        gateway::call_id call{0};
        std::string address;
        http::request message;

        [[nodiscard]] std::string field(std::string_view name) const {
            return std::string{http::find_field(message.fields, name).value_or("")};
        }
    };

    std::vector<sent_call> calls;
    std::vector<gateway::call_id> cancelled;
    std::vector<sent_call> posts;
    std::vector<http::pooled_server> servers;

    void send(gateway::call_id call, std::string_view address, http::request message, base::duration) override {
        calls.push_back({call, std::string{address}, std::move(message)});
    }
    void cancel(gateway::call_id call) override { cancelled.push_back(call); }
    void set_servers(std::span<const http::pooled_server> all) override { servers.assign(all.begin(), all.end()); }
    void post(std::string_view address, http::request message) override {
        posts.push_back({0, std::string{address}, std::move(message)});
    }
};

struct fake_starts final : gateway::start_counter {
    std::vector<std::string> organisations;
    void on_start(std::string_view organisation) override { organisations.emplace_back(organisation); }
};

inline gateway::traffic_route route(std::string prefix, gateway::work_kind kind, std::string service,
                                    unsigned int attempts, bool resumable = false) {
    gateway::traffic_route out;
    out.name = prefix;
    out.host = "site.example";
    out.path_prefix = std::move(prefix);
    out.kind = kind;
    out.timeout = 2s;
    out.latency_objective = 300ms;
    out.services = {{std::move(service), 1}};
    out.max_attempts = attempts;
    out.resumable = resumable;
    return out;
}

inline gateway::traffic_values sample_values() {
    gateway::traffic_values out;
    out.version = 3;
    out.routes = {route("/draft/", gateway::work_kind::stream, "llm", 3, true),
                  route("/query/", gateway::work_kind::stream, "llm", 1),
                  route("/book/", gateway::work_kind::unsafe, "desk", 2),
                  route("/read/", gateway::work_kind::safe, "desk", 3)};
    out.services = {{"llm", 100, gateway::engine_capacity{12, 600000, 5s}}, {"desk", 100, std::nullopt}};
    out.organisations =
        std::vector<gateway::organisation>{{"sangh", {"key-sangh"}, 1}, {"ward", {"key-ward"}, std::nullopt}};
    return out;
}

inline gateway::backend_server server(std::string id, std::string service,
                                      gateway::engine_stage stage = gateway::engine_stage::none,
                                      std::uint32_t slots = 6) {
    gateway::backend_server out;
    out.address = id + ":80";
    out.id = std::move(id);
    out.service = std::move(service);
    out.failure_domain = "east";
    out.slots = slots;
    out.stage = stage;
    return out;
}

/** @brief A bank that is asked without a network. */
struct fake_bank final : gateway::quota_port {
    limits::quota_bank bank;
    std::vector<std::uint64_t> calls;
    bool at_once{true};          /**< Reports are answered when they are sent; later by the test otherwise. */
    limits::quota_report last{}; /**< The latest report. */

    explicit fake_bank(const base::clock &time) : bank{time} {}

    std::optional<limits::quota_answer> send(std::string_view, std::uint64_t call,
                                             const limits::quota_report &report) override {
        calls.push_back(call);
        last = report;
        return at_once ? std::optional{bank.answer(report)} : std::nullopt;
    }
};

/** @brief A forwarder with fake ports and a manually advanced clock. */
struct forwarder_fixture {
    base::manual_clock clock;
    metrics::registry metrics;
    fake_backends backends;
    platform::http_protocol protocol;
    fake_starts starts;
    bool config_confirmed{true};
    fake_bank bank{clock};
    gateway::forwarder subject;

    explicit forwarder_fixture(gateway::forwarder_settings settings = {.failure_domain = "east"})
        : subject{std::move(settings),
                  {clock,
                   metrics,
                   backends,
                   protocol,
                   starts,
                   [] { return 0.0; },
                   {},
                   [this] { return config_confirmed; },
                   nullptr,
                   &bank}} {}

    void configure(gateway::traffic_values values = sample_values()) {
        subject.on_config(std::make_shared<const gateway::traffic_config>(std::move(values)));
    }

    /** Adds two plain backend servers and two decode engines. */
    void populate() {
        subject.on_backends({server("desk-1", "desk"), server("desk-2", "desk"),
                             server("engine-1", "llm", gateway::engine_stage::decode, 12),
                             server("engine-2", "llm", gateway::engine_stage::decode, 12)});
    }

    std::shared_ptr<fake_caller> send(std::string path, http::field_list more = {}, std::string key = "key-sangh") {
        auto caller = std::make_shared<fake_caller>();
        http::request message{"POST", std::move(path), std::move(more), "body"};
        message.fields.push_back({"Host", "site.example"});
        message.fields.push_back({"Attempt-Id", "a1"});
        if (!key.empty()) {
            message.fields.push_back({"Authorization", "Bearer " + key});
        }
        subject.on_arrival(caller, message, clock.now());
        return caller;
    }

    [[nodiscard]] const fake_backends::sent_call &last() const { return backends.calls.back(); }

    void answer(int status, http::field_list fields, std::string body = "") {
        const auto call = last().call;
        subject.on_head(call, status, fields);
        if (status == 200) {
            subject.on_data(call, body);
            body.clear();
        }
        subject.on_end(call, gateway::call_end::complete, {status, std::move(fields), std::move(body)});
    }

    /** @param framed False for an answer that ends with its connection. */
    void begin_stream(bool framed = true) {
        http::field_list fields{
            {"Content-Type", "text/event-stream"}, {"Attempt-Id", "a1"}, {"Response-Signature", "s"}};
        if (framed) {
            fields.push_back({"Transfer-Encoding", "chunked"});
        }
        subject.on_head(last().call, 200, fields);
    }

    void event(int id) { subject.on_data(last().call, "id: " + std::to_string(id) + "\ndata: x\n\n"); }

    void end(gateway::call_end how) { subject.on_end(last().call, how, {200, {}, ""}); }
};

inline const http::field_list signed_answer{{"Attempt-Id", "a1"}, {"Response-Signature", "s"}};
inline const http::field_list not_executed{{"Not-Executed", "1"}};

} // namespace dotterelstack::test
