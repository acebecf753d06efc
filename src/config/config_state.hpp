#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/change.hpp"
#include "config/declarations.hpp"

namespace dotterelstack::config {

using origin_map = std::map<std::string, item_origin, std::less<>>;

/** @brief Immutable configuration of one version with indexed lookups. Shared between threads without locks. */
class config_state {
public:
    /** @brief The empty configuration, version 0. */
    config_state();

    /**
     * @param version Version of the configuration.
     * @param change_id Id of the change that led to it.
     * @param values Validated declarations.
     * @param origins Last change of each item, including removed items.
     */
    config_state(std::uint64_t version, std::string change_id, declarations values, origin_map origins);

    config_state(const config_state &) = delete;
    config_state &operator=(const config_state &) = delete;
    config_state(config_state &&) = delete;
    config_state &operator=(config_state &&) = delete;
    ~config_state() = default;

    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] const std::string &change_id() const noexcept { return change_id_; }
    [[nodiscard]] const declarations &values() const noexcept { return values_; }
    [[nodiscard]] const origin_map &origins() const noexcept { return origins_; }

    /** @return The key with this hash, or null if it is unknown or withdrawn. */
    [[nodiscard]] const key *find_active_key(std::string_view sha256) const;

    /** @return The organisation's limits at a service, or null if it may not use the service. */
    [[nodiscard]] const row *find_row(std::string_view organisation, std::string_view service) const;

    [[nodiscard]] const service *find_service(std::string_view name) const;

    /** @return The service that serves a model (the first by name if there are several), or null. */
    [[nodiscard]] const service *find_service_of_model(std::string_view model) const;

    /** @return The last change of an item, or null. */
    [[nodiscard]] const item_origin *origin_of(std::string_view item) const;

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>{}(text); }
    };
    template<typename Type>
    using index = std::unordered_map<std::string, const Type *, text_hash, std::equal_to<>>;

    std::uint64_t version_{0};
    std::string change_id_;
    declarations values_;
    origin_map origins_;
    index<key> keys_by_hash_;
    index<row> rows_; /**< Key: `ORGANISATION/SERVICE`. */
    index<service> services_by_model_;
};

using state_ptr = std::shared_ptr<const config_state>;

} // namespace dotterelstack::config
