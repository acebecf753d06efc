#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>

namespace dotterelstack::usage {

/** @brief Set of sequence numbers, kept as disjoint ranges. */
class sequence_set {
public:
    /** @return False if the number was already in the set. */
    bool insert(std::uint64_t sequence);

    [[nodiscard]] bool contains(std::uint64_t sequence) const;
    [[nodiscard]] bool empty() const noexcept { return ranges_.empty(); }

    /** @return Number of ranges. */
    [[nodiscard]] std::size_t range_count() const noexcept { return ranges_.size(); }

    /** @return `[[first, last], ...]`. */
    [[nodiscard]] nlohmann::json to_json() const;

    /** @brief Parses the output of `to_json`; throws `nlohmann::json::exception` if the value is malformed. */
    [[nodiscard]] static sequence_set from_json(const nlohmann::json &value);

private:
    std::map<std::uint64_t, std::uint64_t> ranges_; /**< First to last number of each range, inclusive. */
};

} // namespace dotterelstack::usage
