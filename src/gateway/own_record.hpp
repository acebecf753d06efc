#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/error.hpp"
#include "base/id.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief A stored object that only this process writes, and that others may erase. Not thread-safe. */
class own_record {
public:
    /** @param store Must outlive this object. @param ids Must outlive this object. */
    own_record(store::object_store &store, base::id_source &ids, std::string key);

    /** @brief Replaces the value. After an error the write can be repeated. */
    [[nodiscard]] base::result<void> write(const nlohmann::json &value);

    /** @brief Erases the object if it is there. After an error the call can be repeated. */
    [[nodiscard]] base::result<void> erase();

    [[nodiscard]] const std::string &key() const noexcept { return key_; }
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

private:
    void find_version();

    store::object_store &store_;
    base::id_source &ids_;
    const std::string key_;
    std::uint64_t version_{store::absent};
};

} // namespace dotterelstack::gateway
