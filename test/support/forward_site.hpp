#pragma once

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "support/child_process.hpp"
#include "support/tcp_relay.hpp"

namespace dotterelstack::test {

/** @brief What a client of a gateway has received. */
struct forward_reply {
    int status{0}; /**< 0 when the connection broke before the answer was whole. */
    std::string body;
    http::field_list fields;

    [[nodiscard]] std::string field(std::string_view name) const {
        return std::string{http::find_field(fields, name).value_or("")};
    }
};

/** @brief Gateways, runners and the users' object store as separate processes on loopback. */
class forward_site {
public:
    forward_site();
    forward_site(const forward_site &) = delete;
    forward_site &operator=(const forward_site &) = delete;
    ~forward_site();

    /**
     * @brief Starts a runner.
     * @param stage Empty for the booking service.
     * @param more Further options of `standin_runner`.
     */
    void start_runner(const std::string &id, const std::string &stage, const std::vector<std::string> &more = {});

    /** @brief Writes the entry of a server of the booking service that the test runs itself. Entries lapse soon. */
    void register_server(const std::string &id, const std::string &address);

    /** @brief Drops the runners that have ended by themselves; what they ran stays known. @return Their ids. */
    std::vector<std::string> drop_ended_runners();

    /** @return The process of a runner that has not been dropped. */
    [[nodiscard]] child_process &runner(const std::string &id) { return *runners_.at(id); }

    /** @brief Kills a runner; what it ran stays known. */
    void kill_runner(const std::string &id);

    [[nodiscard]] std::vector<std::string> runners() const;

    /** @brief Starts gateway `n`, or starts it again, and waits until it listens. A process that still runs is killed.
     */
    void start_gateway(std::size_t n);

    /** @brief Starts gateway `n` again at its former addresses, without waiting until it listens. */
    void launch_gateway(std::size_t n);

    /** @brief Hands out the process of gateway `n`, so that a successor can be started beside it. */
    [[nodiscard]] std::unique_ptr<child_process> take_gateway(std::size_t n) { return std::move(gateways_.at(n)); }

    /** @brief Writes the first `share` of the settings of gateway `n` to its file; 1 for the whole file. They have the
     * addresses of callers and readiness that it has had. @return Path of the file. */
    std::string write_settings(std::size_t n, double share = 1) const;

    /** @brief Sets the memory of gateways that are started later. */
    void set_memory_mb(int memory_mb) noexcept { memory_mb_ = memory_mb; }

    /** @brief Sets the limit on descriptors of gateways that are started later. */
    void set_descriptors(int descriptors) noexcept { descriptors_ = descriptors; }

    /** @brief Sets the latency objective of all routes in later configurations. */
    void set_objective_ms(int objective_ms) noexcept { objective_ms_ = objective_ms; }

    /** @brief Sets the connections to servers that later configurations permit to keep; 0 for none. */
    void set_max_connections(int max_connections) noexcept { max_connections_ = max_connections; }

    /** @brief Sets how many routes without traffic later configurations have. */
    void set_idle_routes(int idle_routes) noexcept { idle_routes_ = idle_routes; }

    /** @brief Lets each request come on a connection of its own, as from a new caller. */
    void set_fresh_connections() noexcept { fresh_connections_ = true; }

    /** @return Address of gateway `n` for callers. Callable from any thread. */
    [[nodiscard]] std::string callers(std::size_t n) const;

    [[nodiscard]] child_process &gateway(std::size_t n) { return *gateways_.at(n); }
    [[nodiscard]] std::size_t gateways() const noexcept { return gateways_.size(); }

    /** @brief Sets the fields of the organisation's quota in later configurations. */
    void set_quota(nlohmann::json fields) { quota_ = std::move(fields); }

    /** @brief Writes the next version of the configuration with these keys of one organisation. */
    void configure(const std::vector<std::string> &keys);

    /** @brief Copies the store. */
    void copy_store();

    /**
     * @brief Lets the store come back from the copy. The next version of the configuration, with these keys, is
     * confirmed first; as many other writes follow that the store's revision is beyond the one it had before.
     */
    void restore_store(const std::vector<std::string> &keys);

    /** @brief Lets another writer write an object. @param value Any text, which the store shows as it is. */
    void write_foreign(const std::string &key, const std::string &value) const;

    /** @brief Switches the store off or on. */
    void set_store_down(bool down);

    /** @brief Lets each answer of the store come later by this much. */
    void set_store_delay(std::chrono::milliseconds delay);

    /** @return Path of gateway `n` to the store, for faults of the network. */
    [[nodiscard]] tcp_relay &store_path(std::size_t n) { return *store_paths_.at(n); }

    /** @return A request of a caller. @param more Further fields; may set the parts of the prompt. */
    [[nodiscard]] static http::request message(const std::string &kind, const std::string &id,
                                               const std::string &key = "key-1", http::field_list more = {},
                                               std::string body = "body");

    /** @brief Sends a request to gateway `n`. Callable from any thread. @param more Further fields; may set the parts
     * of the prompt. */
    [[nodiscard]] forward_reply send(std::size_t n, const std::string &kind, const std::string &id,
                                     const std::string &key = "key-1", http::field_list more = {},
                                     std::string body = "body") const;

    /** @return True once gateway `n` says that it is ready. */
    [[nodiscard]] bool ready(std::size_t n) const;

    /** @return How often each request ran, over all runners that ever were. */
    [[nodiscard]] std::map<std::string, int> runs() const;

    /** @return Number of callers' requests that have reached a runner, whether they ran or not. */
    [[nodiscard]] std::uint64_t arrivals(const std::string &id) const;

    /** @return Keys that runners which still run have seen. */
    [[nodiscard]] int key_sightings() const;

    /** @return Body of the usage reports received. */
    [[nodiscard]] nlohmann::json usage() const;

private:
    [[nodiscard]] nlohmann::json counts(child_process &runner) const;
    [[nodiscard]] nlohmann::json next_config(const std::vector<std::string> &keys);
    void set_store_faults(const nlohmann::json &faults) const;
    [[nodiscard]] std::filesystem::path settings_file(std::size_t n) const;

    const std::filesystem::path folder_;
    mutable http::curl_client client_;
    child_process objects_;
    std::string store_;
    std::map<std::string, std::unique_ptr<child_process>> runners_;
    std::vector<std::unique_ptr<child_process>> former_runners_;
    std::vector<std::unique_ptr<tcp_relay>> store_paths_;
    std::vector<std::unique_ptr<child_process>> gateways_;
    mutable std::mutex address_mutex_;
    std::vector<std::string> caller_addresses_;
    std::vector<std::string> readiness_addresses_;
    nlohmann::json quota_ = nlohmann::json::object();
    std::uint64_t version_{1};
    int objective_ms_{2000};
    int idle_routes_{0};
    int max_connections_{0};
    std::uint64_t server_sequence_{0};
    int memory_mb_{256};
    int descriptors_{4096};
    bool fresh_connections_{false};
};

/** @return The entry of a server of the booking service that the test runs itself. */
[[nodiscard]] nlohmann::json desk_entry(const std::string &address, std::uint64_t sequence);

/** @return The whole stream that the runner makes for a request. */
[[nodiscard]] std::string whole_stream(const std::string &id, int events);

} // namespace dotterelstack::test
