#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/declarations.hpp"
#include "http/client.hpp"
#include "support/child_process.hpp"
#include "support/tcp_relay.hpp"
#include "transport/event_loop.hpp"
#include "transport/h2_client.hpp"

namespace dotterelstack::test {

/** @brief Longest wait for something that has to happen eventually; generous, since machines may be busy. */
inline constexpr auto eventually_limit = std::chrono::seconds{30};

/** @brief What "within seconds" means in the promises, see section 1.3 of the design. */
inline constexpr auto within_seconds = std::chrono::seconds{6};

/** @return True as soon as `condition` holds, false if it does not within `limit`. */
[[nodiscard]] bool eventually(const std::function<bool()> &condition, base::duration limit = eventually_limit);

/** @brief A response to a caller; status 0 when there was none. */
struct reply {
    int status{0};
    std::string body;
    http::field_list fields;

    /** @return `error.code` of the body, or an empty text. */
    [[nodiscard]] std::string code() const;
    /** @return `error.ran` of the body, or an empty text. */
    [[nodiscard]] std::string ran() const;
};

/** @brief A streamed completion that a thread reads. */
class caller_stream {
public:
    /**
     * @param address Callers listener of an entry, or an engine.
     * @param key Sent as bearer key unless empty.
     * @param tokens `max_tokens` of the request.
     */
    caller_stream(std::string address, const std::string &key, std::string prompt, std::size_t tokens);
    caller_stream(const caller_stream &) = delete;
    caller_stream &operator=(const caller_stream &) = delete;
    caller_stream(caller_stream &&) = delete;
    caller_stream &operator=(caller_stream &&) = delete;
    ~caller_stream();

    /** @return Tokens received so far. */
    [[nodiscard]] std::size_t received() const;
    [[nodiscard]] std::string text() const;
    /** @return True once `[DONE]` was received. */
    [[nodiscard]] bool done() const;
    /** @return True once the response or the connection has ended. */
    [[nodiscard]] bool ended() const;
    /** @return Last event or body that carried an error, empty if none did. */
    [[nodiscard]] std::string error() const;

    [[nodiscard]] bool wait_received(std::size_t tokens) const;
    [[nodiscard]] bool wait_end(base::duration limit = eventually_limit) const;

    /** @return True if the response ended as complete and is exactly the text that the engine computes. */
    [[nodiscard]] bool whole() const;
    /** @return True if what was received is the beginning of that text, whole or not. */
    [[nodiscard]] bool correct_so_far() const;

private:
    void run(const std::string &address, const std::string &key);
    [[nodiscard]] bool take(std::string_view part);
    void take_event(std::string_view event);

    const std::string prompt_;
    const std::size_t tokens_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::string rest_;
    std::string text_;
    std::size_t received_{0};
    bool done_{false};
    bool ended_{false};
    bool stop_{false};
    std::string error_;
    std::thread thread_;
};

/** @brief Programs and options of a site. */
struct site_options {
    std::size_t engines{2};  /**< Each on a host of its own, with an agent. */
    std::size_t services{1}; /**< As engines. */
    std::size_t entries{1};
    std::vector<std::vector<std::string>> engine_arguments{}; /**< For each engine; the last ones count for the rest. */
    std::vector<std::string> service_arguments{};
    std::vector<std::string> entry_overrides{}; /**< `name=value`, as `--set` takes them. */
    std::vector<std::string> agent_overrides{};
    std::vector<std::string> platform_arguments{};
    bool relay_agents{false}; /**< Entries reach agents through relays. */
    bool relay_stores{false}; /**< Each entry reaches the store through a relay of its own. */
};

/** @brief Result of an operator command. */
struct command_result {
    std::optional<int> code;
    std::string output;
    std::string errors;
};

/**
 * @brief A small site of real processes on loopback: store, platform, engines, plain services, agents and entries.
 *
 * The organisations `amreli` and `morbi` may use the model service `drafting` (model `wording-short`) and the plain
 * service `booking` with a repeatable `GET /availability` and a `POST /bookings` that must not be repeated. The
 * constructor returns when every entry serves both. All processes are killed by their id on destruction.
 */
class site {
public:
    explicit site(site_options options = {});
    site(const site &) = delete;
    site &operator=(const site &) = delete;
    site(site &&) = delete;
    site &operator=(site &&) = delete;
    ~site();

    /** @brief Starts another entry without waiting for it. @return Its number. */
    std::size_t start_entry(const std::vector<std::string> &overrides = {});
    /** @brief Waits until an entry serves both services. */
    [[nodiscard]] bool serves(std::size_t entry);

    [[nodiscard]] child_process &entry(std::size_t n) { return *entries_.at(n).process; }
    [[nodiscard]] const std::string &callers(std::size_t entry = 0) const { return entries_.at(entry).callers; }
    [[nodiscard]] const std::string &peers(std::size_t entry = 0) const { return entries_.at(entry).peers; }
    [[nodiscard]] tcp_relay &store_relay(std::size_t entry) { return *entries_.at(entry).store_relay; }

    /** @brief Agents, engines first, then plain services. */
    [[nodiscard]] child_process &agent(std::size_t n) { return *hosts_.at(n).agent; }
    [[nodiscard]] child_process &backend(std::size_t n) { return *hosts_.at(n).backend; }
    [[nodiscard]] tcp_relay &agent_relay(std::size_t n) { return *hosts_.at(n).relay; }
    [[nodiscard]] const std::string &agent_address(std::size_t n) const { return hosts_.at(n).agent_address; }
    [[nodiscard]] const std::string &backend_address(std::size_t n) const { return hosts_.at(n).backend_address; }
    [[nodiscard]] const std::string &host_name(std::size_t n) const { return hosts_.at(n).name; }

    [[nodiscard]] const std::string &key(std::size_t organisation = 0) const { return keys_.at(organisation); }
    [[nodiscard]] static std::string key_id(std::size_t organisation = 0);

    /** @brief Sets the state of an agent's host in the platform's list: `live`, `leaving` or `gone`. */
    void set_host_state(std::size_t n, const std::string &state);

    /** @brief Changes the declarations and applies them, accepting the risks named. */
    command_result apply(const std::function<void(config::declarations &)> &change,
                         const std::vector<std::string> &accepted_risks = {});
    /** @brief Runs an operator command with the addresses of store and platform and an author. */
    command_result command(std::vector<std::string> arguments);
    /** @brief Sets faults of the store. */
    void store_faults(const nlohmann::json &faults);

    /** @brief Sends a request on a connection of its own. */
    [[nodiscard]] static reply send(const std::string &address, const http::request &message,
                                    base::duration timeout = eventually_limit);
    /** @brief Sends a request with the first organisation's key. */
    [[nodiscard]] reply call(std::size_t entry, const std::string &method, const std::string &target,
                             const std::string &body = {}, http::field_list fields = {}) const;
    /** @brief Books; `idempotency_key` is left out when empty. */
    [[nodiscard]] reply book(std::size_t entry, const std::string &booking,
                             const std::string &idempotency_key = {}) const;
    /** @brief Asks for a completion that is not streamed. */
    [[nodiscard]] reply complete(std::size_t entry, const std::string &prompt, std::size_t tokens) const;

    /** @return Parsed body of a GET at a backend server, straight and not through an entry. */
    [[nodiscard]] nlohmann::json backend_get(std::size_t n, const std::string &target) const;
    /** @return Runs of a booking, summed over all plain services. */
    [[nodiscard]] std::uint64_t runs_of(const std::string &booking) const;
    /** @return Requests that an engine has taken. */
    [[nodiscard]] std::size_t requests_at(std::size_t engine) const;
    /** @return Status of an entry, discarded when it gives none. */
    [[nodiscard]] nlohmann::json entry_status(std::size_t entry);
    /** @return Configuration version in force at an entry, 0 when it does not answer. */
    [[nodiscard]] std::uint64_t version_of(std::size_t entry);
    /** @brief Calls an agent or an entry's peers listener. */
    [[nodiscard]] reply call_peer(const std::string &address, const std::string &method, const std::string &target,
                                  const std::string &body = {});

private:
    struct host {
        std::string name;
        std::unique_ptr<child_process> backend;
        std::string backend_address;
        std::unique_ptr<child_process> agent;
        std::string agent_address; /**< As the platform lists it. */
        std::unique_ptr<tcp_relay> relay;
    };
    struct entry_host {
        std::string name;
        std::unique_ptr<tcp_relay> store_relay;
        std::unique_ptr<child_process> process;
        std::string callers;
        std::string peers;
    };

    command_result apply_files(const std::vector<std::string> &accepted_risks);
    void start_host(std::size_t n);
    [[nodiscard]] std::string write_settings(const std::string &name, const nlohmann::json &values) const;
    void list_host(const std::string &name, const std::string &role, const std::string &address,
                   const std::string &state) const;

    const site_options options_;
    std::filesystem::path directory_;
    std::vector<std::string> keys_;
    child_process store_;
    child_process platform_;
    std::string store_address_;
    std::string platform_address_;
    std::vector<host> hosts_;
    std::vector<entry_host> entries_;
    const base::boottime_clock clock_;
    transport::event_loop loop_;
    transport::h2_client peers_client_{loop_, clock_};
};

} // namespace dotterelstack::test
