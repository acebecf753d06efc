#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "gateway/member_record.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief A gateway's record as this process knows it. */
struct known_member {
    std::string key;
    std::uint64_t version{0};    /**< Of the stored object when it was last listed. */
    member_record record;        /**< Newest state that was seen, from the store or from the gateway itself. */
    base::instant advanced_at{}; /**< When this process last saw the record advance. */
};

/**
 * @brief Records of the gateways, from all lists that this process has seen. Thread-safe.
 *
 * The owner of a record is its gateway. A record that is missing from a list, or older than the one seen before, is no
 * news about it: the store may have returned from a copy. Only a record that advances shows that its gateway lives.
 */
class member_directory {
public:
    /** @param time Clock; must outlive this object. @param keep Time for which records that do not advance are kept. */
    explicit member_directory(const base::clock &time, base::duration keep = std::chrono::minutes{1});

    /** @brief Takes a list of all stored records. Unreadable ones are logged and left out. */
    void on_list(std::span<const store::object> all);

    /** @brief Takes the record that a gateway has given when it was asked. */
    void on_answer(const std::string &key, const member_record &record);

    /** @return All records that are known, in the order of their keys. */
    [[nodiscard]] std::vector<known_member> all() const;

private:
    void merge(known_member &known, const member_record &seen);

    const base::clock &time_;
    const base::duration keep_;
    mutable std::mutex mutex_;
    std::map<std::string, known_member> members_;
};

} // namespace dotterelstack::gateway
