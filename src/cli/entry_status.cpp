#include "cli/entry_status.hpp"

#include <nlohmann/json.hpp>

namespace dotterelstack::cli {

namespace internal {

using json = nlohmann::json;

std::vector<json> list_of(const json &value, const char *name) {
    const auto it = value.find(name);
    return it == value.end() ? std::vector<json>{} : it->get<std::vector<json>>();
}

config::row_use to_row(const json &it) {
    return {it.at("organisation").get<std::string>(),  it.at("service").get<std::string>(),
            it.value("running", std::uint64_t{0}),     it.value("requests_per_second", 0.0),
            it.value("prompt_tokens_per_second", 0.0), it.value("generated_tokens_per_second", 0.0)};
}

config::backend_snapshot to_backend(const json &it) {
    return {it.at("name").get<std::string>(),
            it.value("host", ""),
            it.at("service").get<std::string>(),
            it.value("models", std::vector<std::string>{}),
            it.value("failure_domain", ""),
            it.value("draining", false),
            it.value("used_blocks", std::uint64_t{0}),
            it.value("total_blocks", std::uint64_t{0})};
}

entry_status to_status(const json &value) {
    entry_status out;
    out.name = value.at("entry").get<std::string>();
    out.failure_domain = value.value("failure_domain", "");
    out.config_version = value.at("config_version").get<std::uint64_t>();
    if (const auto it = value.find("config_age_ms"); it != value.end() && !it->is_null()) {
        out.config_age_ms = it->get<std::uint64_t>();
    }
    for (const auto &it : list_of(value, "withdrawn_keys")) {
        out.withdrawn_keys.insert(it.get<std::string>());
    }
    out.peers = value.value("peers", std::vector<std::string>{});
    for (const auto &it : list_of(value, "rows")) {
        out.facts.rows.push_back(to_row(it));
    }
    for (const auto &it : list_of(value, "backends")) {
        out.facts.backends.push_back(to_backend(it));
    }
    return out;
}

} // namespace internal

base::result<entry_status> decode_entry_status(std::string_view text) {
    try {
        return internal::to_status(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception &ec) {
        return base::fail(base::error_kind::invalid_argument, "status_malformed",
                          std::string{"the entry's status is malformed ("} + ec.what() +
                              "); run the same release of the program everywhere");
    }
}

} // namespace dotterelstack::cli
