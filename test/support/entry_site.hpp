#pragma once

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "config/repository.hpp"
#include "config/sample.hpp"
#include "http/client.hpp"
#include "standin/support.hpp"
#include "store/http_store.hpp"
#include "support/child_process.hpp"

namespace dotterelstack::test {

/** @brief Waits for an observable state; the generous limit only ends a test that hangs. */
template<typename Condition>
[[nodiscard]] bool eventually(Condition condition, std::chrono::seconds limit = std::chrono::seconds{90}) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return true;
}

/** @brief Store, platform, one engine with its agent, and entries, as real processes on free ports. */
class entry_site {
public:
    struct entry_process {
        std::unique_ptr<child_process> process;
        std::string callers;
        std::string peers;
    };

    /** @param values Declarations to commit; their model service must be `drafting` with the model `m1`. */
    explicit entry_site(const config::declarations &values, std::vector<std::string> engine_options = {})
        : engine{"engine", with_model(std::move(engine_options))}, objects{client, store.address} {
        base::id_source ids;
        root_ = std::filesystem::temp_directory_path() / ("dotterelstack-test-" + ids.next());
        std::filesystem::create_directories(root_);
        config::repository repository{objects, ids, config::default_repository_options()};
        REQUIRE(repository.commit("alice", [&values](const config::config_state &current) {
            return base::result<std::vector<config::item_change>>{make_change(0, current.values(), values).items};
        }));
        const auto file = write("agent.json", {{"host", "host-a"},
                                               {"failure_domain", "a"},
                                               {"listen", "127.0.0.1:0"},
                                               {"store", store.address},
                                               {"backends",
                                                {{{"name", "engine-1"},
                                                  {"service", "drafting"},
                                                  {"kind", "model"},
                                                  {"address", engine.address},
                                                  {"models", {"m1"}},
                                                  {"honours_fence", true}}}}});
        agent_ =
            std::make_unique<child_process>("dotterelstack", std::vector<std::string>{"agent", "--settings", file});
        list_host("host-a", "agent", agent_->address("agent"), "a", "live");
    }
    entry_site(const entry_site &) = delete;
    entry_site &operator=(const entry_site &) = delete;
    entry_site(entry_site &&) = delete;
    entry_site &operator=(entry_site &&) = delete;
    ~entry_site() {
        entries.clear();
        std::error_code ec;
        std::filesystem::remove_all(root_, ec);
    }

    /** @brief Starts an entry and lists it at the platform. @param timings Values such as `usage_window_ms`. */
    entry_process &start_entry(const std::string &name, const std::string &domain, const nlohmann::json &timings) {
        const auto file = write(name + ".json", {{"name", name},
                                                 {"failure_domain", domain},
                                                 {"listen", {{"callers", "127.0.0.1:0"}, {"peers", "127.0.0.1:0"}}},
                                                 {"store", store.address},
                                                 {"platform", platform.address}});
        std::vector<std::string> arguments{"entry", "--settings", file};
        for (const auto &[field, value] : timings.items()) {
            arguments.insert(arguments.end(), {"--set", "timings." + field + "=" + value.dump()});
        }
        auto &out = entries[name];
        out.process = std::make_unique<child_process>("dotterelstack", std::move(arguments));
        out.callers = out.process->address("callers");
        out.peers = out.process->address("peers");
        list_host(name, "entry", out.peers, domain, "live");
        return out;
    }

    void list_host(const std::string &host, const std::string &role, const std::string &address,
                   const std::string &domain, const std::string &state) {
        REQUIRE(
            platform.post(
                "/v1/hosts",
                {{"host", host}, {"role", role}, {"address", address}, {"failure_domain", domain}, {"state", state}}) ==
            200);
    }

    /** @return Status and body of a completion; status 0 when there was no complete response. */
    static http::response complete(const entry_process &entry, const std::string &key, const std::string &prompt,
                                   int tokens) {
        http::curl_client own;
        http::call_options limits;
        limits.timeout = std::chrono::seconds{120};
        const nlohmann::json body{{"model", "m1"}, {"prompt", prompt}, {"max_tokens", tokens}};
        const http::field_list fields{{"Authorization", "Bearer " + key}, {"Content-Type", "application/json"}};
        auto answer = own.call(entry.callers, {"POST", "/v1/completions", fields, body.dump()}, limits);
        return answer ? std::move(answer.value()) : http::response{};
    }

    /** @brief Waits until the entry serves: it has read the configuration and knows the engine. */
    static bool serves(const entry_process &entry, const std::string &key) {
        return eventually([&] { return complete(entry, key, "a", 1).status == 200; });
    }

    /** @return Stored object as JSON, or null. */
    [[nodiscard]] nlohmann::json stored(const std::string &key) {
        const auto found = objects.get(key);
        return found && found.value() ? nlohmann::json::parse(found.value()->value) : nlohmann::json{};
    }

    standin_program store{"store"};
    standin_program platform{"platform"};
    standin_program engine;
    http::curl_client client;
    store::http_store objects;
    std::map<std::string, entry_process> entries;

private:
    static std::vector<std::string> with_model(std::vector<std::string> options) {
        options.insert(options.end(), {"--model", "m1"});
        return options;
    }

    std::string write(const std::string &name, const nlohmann::json &value) {
        const auto path = (root_ / name).string();
        std::ofstream{path} << value.dump();
        return path;
    }

    std::filesystem::path root_;
    std::unique_ptr<child_process> agent_;
};

} // namespace dotterelstack::test
