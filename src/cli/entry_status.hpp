#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"
#include "config/risk.hpp"

namespace dotterelstack::cli {

/** @brief Reads the status of one entry over its peers listener. */
class entry_status_source {
public:
    entry_status_source() = default;
    entry_status_source(const entry_status_source &) = delete;
    entry_status_source &operator=(const entry_status_source &) = delete;
    virtual ~entry_status_source() = default;

    /**
     * @brief Calls `GET /status`.
     * @param address Address of the peers listener of the entry.
     * @return Body of the response; an error if there was no response in time.
     */
    [[nodiscard]] virtual base::result<std::string> read(std::string_view address) = 0;
};

/** @brief The part of the status of an entry that operator commands use. */
struct entry_status {
    std::string name;
    std::string failure_domain;
    std::uint64_t config_version{0};
    std::optional<std::uint64_t> config_age_ms;        /**< Nothing if unknown. */
    std::set<std::string, std::less<>> withdrawn_keys; /**< Ids of withdrawals known ahead of the configuration. */
    std::vector<std::string> peers;                    /**< Addresses of the other entries that this entry knows. */
    config::fleet_snapshot facts;
};

/**
 * @brief Decodes the body of `GET /status` of an entry; unknown fields are ignored, lists may be absent.
 * @return `invalid_argument` if the body is malformed.
 */
[[nodiscard]] base::result<entry_status> decode_entry_status(std::string_view text);

} // namespace dotterelstack::cli
