#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dotterelstack::config {

/** @brief Old and new value of one item; null stands for an absent item. */
struct item_change {
    std::string item;
    nlohmann::json before;
    nlohmann::json after;

    bool operator==(const item_change &) const = default;
};

/** @brief One committed change of the configuration. */
struct change {
    std::uint64_t version{0}; /**< Version of the configuration after the change. */
    std::string id;           /**< Random; identifies the writer's own change after a lost response. */
    std::string author;
    std::string time; /**< Wall clock of the author's host; for display only. */
    std::vector<item_change> items;

    bool operator==(const change &) const = default;
};

/** @brief The change that set the current value of an item. */
struct item_origin {
    std::uint64_t version{0};
    std::string id;
    std::string author;
    std::string time;

    bool operator==(const item_origin &) const = default;
};

} // namespace dotterelstack::config
