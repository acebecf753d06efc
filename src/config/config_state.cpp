#include "config/config_state.hpp"

#include <utility>

namespace dotterelstack::config {

config_state::config_state() : config_state{0, {}, {}, {}} {}

config_state::config_state(std::uint64_t version, std::string change_id, declarations values, origin_map origins)
    : version_{version}, change_id_{std::move(change_id)}, values_{std::move(values)}, origins_{std::move(origins)} {
    for (const auto &[id, it] : values_.keys) {
        if (!it.withdrawn) {
            keys_by_hash_.emplace(it.sha256, &it);
        }
    }
    for (const auto &[name, it] : values_.rows) {
        rows_.emplace(name.first + "/" + name.second, &it);
    }
    for (const auto &[name, it] : values_.services) {
        for (const auto &model : it.models) {
            services_by_model_.emplace(model, &it);
        }
    }
}

const key *config_state::find_active_key(std::string_view sha256) const {
    const auto it = keys_by_hash_.find(sha256);
    return it == keys_by_hash_.end() ? nullptr : it->second;
}

const row *config_state::find_row(std::string_view organisation, std::string_view service) const {
    std::string name{organisation};
    name.append("/").append(service);
    const auto it = rows_.find(name);
    return it == rows_.end() ? nullptr : it->second;
}

const service *config_state::find_service(std::string_view name) const {
    const auto it = values_.services.find(name);
    return it == values_.services.end() ? nullptr : &it->second;
}

const service *config_state::find_service_of_model(std::string_view model) const {
    const auto it = services_by_model_.find(model);
    return it == services_by_model_.end() ? nullptr : it->second;
}

const item_origin *config_state::origin_of(std::string_view item) const {
    const auto it = origins_.find(item);
    return it == origins_.end() ? nullptr : &it->second;
}

} // namespace dotterelstack::config
