#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::order {

/** @brief One order for an engine, or for the platform. */
struct order {
    std::string id;       /**< Stable: the same for every repetition, by whichever planner. */
    std::string backend;  /**< Backend server; for the platform the failure domain. */
    std::string kind;     /**< `set_role`, `load_model`, `load_adapter`, `set_version`; `start`, `stop`. */
    std::string argument; /**< Role, model, adapter or version; for the platform the host. */
    std::string origin;   /**< `planned` or `automatic`; both kinds share one journal. */
};

/** @brief State of a journal entry. */
enum class entry_state {
    intended, /**< Stored before it is sent. */
    sent,     /**< The receiver accepted it; its completion is awaited. */
    settled   /**< Done or failed; the next order may begin. */
};

/** @brief How far the receiver has come with an order. */
enum class order_progress {
    accepted, /**< Received, not completed. */
    done,     /**< Completed. */
    failed    /**< Rejected for good; it will have no effect. */
};

/** @brief Content of the store object `order/{backend}`: the last order, open unless settled. */
struct journal_entry {
    order item;
    std::uint64_t fence{0}; /**< Fence of the planner that issued or took over the order. */
    entry_state state{entry_state::intended};
    bool failed{false}; /**< Meaningful when settled. */
};

/** @return Store key of the journal of one backend server. */
[[nodiscard]] std::string journal_key(std::string_view backend);

/** @return The stored form. */
[[nodiscard]] nlohmann::json to_json(const journal_entry &entry);

/** @brief Parses a journal object. */
[[nodiscard]] base::result<journal_entry> parse_entry(const store::object &item);

} // namespace dotterelstack::order
