#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/server.hpp"
#include "standin/common/timer.hpp"
#include "standin/store/object_table.hpp"

namespace dotterelstack::standin {

/** @brief Faults that are in force. */
struct store_faults {
    bool outage{false};            /**< Every connection is dropped before its call has an effect. */
    std::int64_t delay_ms{0};      /**< Time before each call is carried out. */
    std::uint64_t lose_answers{0}; /**< Number of next writes that take effect and whose answer is dropped. */
    std::uint64_t stale_reads{0};  /**< Number of next object reads that return the previous version. */
    bool silent{false};            /**< Calls are held; they are carried out when this is cleared. */
    std::string prefix;            /**< Restricts `lose_answers` and `stale_reads` to keys that begin with it. */
};

/** @brief The platform's object store over HTTP, with faults. */
class store {
public:
    /** @brief Handles one request; does not block. */
    void handle(const http::exchange &call);

    /** @brief Answers waiting watches with no events, for a graceful stop. */
    void release_watches();

private:
    using json = nlohmann::json;

    struct watch {
        std::uint64_t id{0};
        http::exchange call;
        std::string prefix;
        std::uint64_t since{0};
    };

    struct counts {
        std::uint64_t reads{0};
        std::uint64_t writes{0};
        std::uint64_t conflicts{0};
        std::uint64_t lists{0};
        std::uint64_t watches{0};
        std::uint64_t bytes_in{0};
        std::uint64_t bytes_out{0};
    };

    void carry_out(const http::exchange &call);
    void set_faults(const http::exchange &call);
    [[nodiscard]] json faults() const;
    [[nodiscard]] json counters() const;
    void get(const http::exchange &call, const std::string &key);
    void write(const http::exchange &call, const std::string &key);
    void list(const http::exchange &call);
    void start_watch(const http::exchange &call);
    void end_watch(std::uint64_t id);
    void wake_watches(const std::string &key);
    void answer(const http::exchange &call, const std::string &key, const http::response &response);
    void answer_watch(const watch &it);
    [[nodiscard]] bool applies(const std::string &key) const { return key.starts_with(faults_.prefix); }
    [[nodiscard]] counts &counts_of(std::string_view key);

    std::mutex mutex_;
    object_table objects_;
    store_faults faults_;
    std::list<watch> watches_;
    std::vector<http::exchange> held_;
    std::map<std::string, counts, std::less<>> counts_; /**< By the first part of the key. */
    std::uint64_t dropped_{0};
    std::uint64_t watch_ids_{0};
    timer timer_;
};

} // namespace dotterelstack::standin
