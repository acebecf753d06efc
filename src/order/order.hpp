#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::order {

/** @brief An order to an engine or to the platform. */
struct order {
    std::string id;      /**< The same for every repetition, whichever planner sends it. */
    std::string backend; /**< Backend server; for platform orders the failure domain. */
    std::string kind; /**< `set_role`, `load_model`, `load_adapter`, `set_version`; on the platform `start`, `stop`. */
    std::string argument; /**< Role, model, adapter or version; for platform orders the host. */
    std::string origin;   /**< `planned` or `automatic`; both kinds share one journal. */
};

/** @brief State of a journal entry. */
enum class entry_state {
    intended, /**< Stored; possibly not sent yet. */
    sent,     /**< Accepted by the receiver, not completed. */
    settled   /**< Done or failed; the next order may be started. */
};

/** @brief Progress of an order at its receiver. */
enum class order_progress {
    accepted, /**< Received, not completed. */
    done,     /**< Completed. */
    failed    /**< Permanently rejected; it will have no effect. */
};

/** @brief Content of the store object `order/{backend}`: the last order, which is open until it is settled. */
struct journal_entry {
    order item;
    std::uint64_t fence{0}; /**< Fence of the planner that issued or took over the order. */
    entry_state state{entry_state::intended};
    bool failed{false}; /**< Only valid when settled. */
};

/** @return Store key of the journal of one backend server. */
[[nodiscard]] std::string journal_key(std::string_view backend);

/** @return The stored form. */
[[nodiscard]] nlohmann::json to_json(const journal_entry &entry);

/** @brief Parses a journal object. */
[[nodiscard]] base::result<journal_entry> parse_entry(const store::object &item);

} // namespace dotterelstack::order
