#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "http/server.hpp"
#include "standin/common/key_watch.hpp"
#include "standin/engine/prefix_cache.hpp"

namespace dotterelstack::standin {

/** @brief Settings of the stand-in engine. */
struct engine_options {
    std::vector<std::string> models;
    std::string role{"mixed"};
    double tokens_per_second{100};           /**< Of each generating request. */
    double prefill_tokens_per_second{20000}; /**< Of the whole engine. */
    std::size_t blocks{1024};
    std::size_t block_tokens{1024};
    std::size_t batch{8}; /**< Requests that run at the same time. */
    std::chrono::milliseconds load_lag{0};
    bool honour_fence{true};
    std::chrono::milliseconds role_change{2000};
    std::uint64_t fail_after_tokens{0}; /**< Breaks all requests once after so many tokens; zero for never. */
    std::chrono::milliseconds cache_event_lag{0};
    std::uint64_t cache_event_gap{0}; /**< Drops every such event; zero for none. */
    std::string refuse_key_text;
};

/** @return True for `prefill`, `decode` and `mixed`. */
[[nodiscard]] bool is_role(std::string_view text) noexcept;

/** @brief A stand-in inference engine with continuous batching, driven by one scheduler thread. */
class engine {
public:
    explicit engine(engine_options options);

    /** @brief Handles one request; does not block. */
    void handle(const http::exchange &call);

private:
    using time_point = std::chrono::steady_clock::time_point;
    using json = nlohmann::json;

    struct job {
        http::exchange call;
        std::string id{};
        std::string model{};
        std::string prompt{};
        std::vector<std::string> prefixes{};
        std::size_t prompt_tokens{1};
        std::size_t next{0}; /**< Next token to generate. */
        std::size_t first{0};
        std::size_t last{16};
        std::size_t blocks{1}; /**< Blocks of its own, beside the pinned ones of the cache. */
        std::size_t pinned{0}; /**< Leading blocks of its prompt that it uses in the cache. */
        double prefill_left{0};
        double credit{0};
        double priority{0};
        std::uint64_t arrival{0};
        bool stream{false};
        bool chat{false};
        std::string text{};
    };

    struct request_record {
        std::uint64_t runs{0};
        std::uint64_t tokens{0};
        std::string finish_reason{};
    };

    struct load_report {
        time_point when;
        std::uint64_t seq{0};
        std::size_t running{0};
        std::size_t queued{0};
        std::size_t free_blocks{0};
    };

    struct change {
        time_point due;
        std::string kind;
        std::string argument;
    };

    void complete(const http::exchange &call, bool chat);
    [[nodiscard]] http::response order(const http::request &message);
    [[nodiscard]] http::response cancel(std::string_view id);
    [[nodiscard]] http::response load() const;
    [[nodiscard]] http::response state() const;
    [[nodiscard]] http::response requests() const;
    [[nodiscard]] http::response cache_events(const http::request &message) const;
    [[nodiscard]] http::response export_cache(const std::string &id) const;
    [[nodiscard]] http::response import_cache(const std::string &id, const http::request &message);

    void run(const std::stop_token &stop);
    void step(time_point now, double seconds);
    void admit();
    [[nodiscard]] bool reserve(job &it);
    void release(const job &it);
    void keep_prefix(job &it);
    void prefill(double tokens);
    bool generate(job &it, double tokens);
    void send_token(job &it);
    void finish(job &it, std::string_view reason);
    void break_all();
    void apply_change(time_point now);
    void publish(time_point now);
    [[nodiscard]] json event(const job &it, std::string_view text, const json &reason) const;
    [[nodiscard]] std::size_t own_blocks() const;
    [[nodiscard]] std::size_t free_blocks() const;

    engine_options options_;
    mutable std::mutex mutex_;
    std::condition_variable_any changed_;
    key_watch keys_;
    prefix_cache cache_;
    std::list<job> running_;
    std::list<job> queued_;
    std::deque<load_report> reports_;
    std::deque<std::pair<time_point, cache_event>> events_;
    std::optional<change> changing_;
    std::vector<std::string> adapters_;
    std::string version_{"1"};
    std::string order_id_;
    std::uint64_t fence_{0};
    json orders_ = json::array();
    std::map<std::string, request_record> requests_;
    std::uint64_t arrivals_{0};
    std::uint64_t generated_{0};
    std::uint64_t prefilled_{0};
    std::uint64_t interrupted_{0};
    bool failed_{false};
    std::jthread scheduler_;
};

} // namespace dotterelstack::standin
