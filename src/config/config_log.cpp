#include "config/config_log.hpp"

#include <utility>

#include "config/item.hpp"

namespace dotterelstack::config {

namespace internal {

using json = nlohmann::json;

/** Runs a decoder and converts the exceptions with which nlohmann reports missing fields and wrong types. */
template<typename Type, typename Decode>
base::result<Type> decode_checked(std::string_view what, const Decode &decode) {
    try {
        return decode();
    } catch (const json::exception &ec) {
        return base::fail(base::error_kind::invalid_argument, "config_unreadable",
                          std::string{what} + " is malformed (" + ec.what() +
                              "); run the same release of the program everywhere");
    }
}

base::error unreadable(std::string message) {
    return {base::error_kind::invalid_argument, "config_unreadable", std::move(message)};
}

base::error diverged(std::string message) {
    return {base::error_kind::internal, "config_diverged",
            std::move(message) + "; check whether the store was restored from a backup"};
}

change change_from(const json &value) {
    change out;
    out.version = value.at("version").get<std::uint64_t>();
    out.id = value.at("id").get<std::string>();
    out.author = value.at("author").get<std::string>();
    out.time = value.at("time").get<std::string>();
    for (const auto &it : value.at("items")) {
        out.items.push_back({it.at("item").get<std::string>(), it.at("before"), it.at("after")});
    }
    return out;
}

base::result<head> check(head value) {
    auto next = value.changes.empty() ? value.version + 1 : value.changes.front().version;
    const auto first = next;
    for (const auto &it : value.changes) {
        if (it.version != next++) {
            return boost::outcome_v2::failure(unreadable("the configuration head has a gap in its changes"));
        }
    }
    if (next != value.version + 1 || first > value.snapshot_version + 1 || value.snapshot_version > value.version) {
        return boost::outcome_v2::failure(
            unreadable("the changes of the configuration head do not end at its version"));
    }
    return value;
}

json origin_entry(const std::string &item, json value, const item_origin &origin) {
    return {{"item", item},    {"value", std::move(value)}, {"version", origin.version},
            {"id", origin.id}, {"author", origin.author},   {"time", origin.time}};
}

/** Content of a snapshot while its parts are read. */
struct snapshot_content {
    std::uint64_t version{0};
    std::string change_id;
    declarations values;
    origin_map origins;
};

base::result<void> read_part(const json &part, std::size_t number, std::size_t count, snapshot_content &out) {
    const auto version = part.at("version").get<std::uint64_t>();
    if (part.at("part").get<std::size_t>() != number || part.at("parts").get<std::size_t>() != count ||
        (number > 0 && version != out.version)) {
        return boost::outcome_v2::failure(
            unreadable("the parts of a configuration snapshot belong to different snapshots"));
    }
    out.version = version;
    out.change_id = part.at("change_id").get<std::string>();
    for (const auto &it : part.at("items")) {
        const auto item = it.at("item").get<std::string>();
        BOOST_OUTCOME_TRYV(set_item(out.values, item, it.at("value")));
        out.origins[item] = {it.at("version").get<std::uint64_t>(), it.at("id").get<std::string>(),
                             it.at("author").get<std::string>(), it.at("time").get<std::string>()};
    }
    return base::success();
}

} // namespace internal

void to_json(nlohmann::json &out, const change &value) {
    auto items = nlohmann::json::array();
    for (const auto &it : value.items) {
        items.push_back({{"item", it.item}, {"before", it.before}, {"after", it.after}});
    }
    out = {{"version", value.version},
           {"id", value.id},
           {"author", value.author},
           {"time", value.time},
           {"items", std::move(items)}};
}

base::result<change> decode_change(const nlohmann::json &value) {
    return internal::decode_checked<change>(
        "a configuration change", [&value]() -> base::result<change> { return internal::change_from(value); });
}

std::string encode_head(const head &value) {
    return nlohmann::json{{"version", value.version},
                          {"snapshot", {{"version", value.snapshot_version}, {"parts", value.snapshot_parts}}},
                          {"changes", value.changes}}
        .dump();
}

base::result<head> decode_head(std::string_view text) {
    return internal::decode_checked<head>("the configuration head", [text]() -> base::result<head> {
        const auto value = nlohmann::json::parse(text);
        head out;
        out.version = value.at("version").get<std::uint64_t>();
        out.snapshot_version = value.at("snapshot").at("version").get<std::uint64_t>();
        out.snapshot_parts = value.at("snapshot").at("parts").get<std::uint64_t>();
        for (const auto &it : value.at("changes")) {
            out.changes.push_back(internal::change_from(it));
        }
        return internal::check(std::move(out));
    });
}

std::string snapshot_key(std::uint64_t version, std::uint64_t part) {
    return "config/snapshot/" + std::to_string(version) + "/" + std::to_string(part);
}

std::vector<std::string> encode_snapshot(const config_state &state) {
    // Upper bound for the fields of a part other than its items.
    constexpr std::size_t part_overhead = 1024;
    std::vector<nlohmann::json> groups{nlohmann::json::array()};
    std::size_t size = part_overhead;
    for (const auto &[item, origin] : state.origins()) {
        auto entry = internal::origin_entry(item, find_item(state.values(), item), origin);
        const auto n = entry.dump().size() + 1;
        if (size + n > part_limit) {
            groups.emplace_back(nlohmann::json::array());
            size = part_overhead;
        }
        size += n;
        groups.back().push_back(std::move(entry));
    }
    std::vector<std::string> out;
    for (std::size_t it = 0; it < groups.size(); ++it) {
        out.push_back(nlohmann::json{{"version", state.version()},
                                     {"change_id", state.change_id()},
                                     {"part", it},
                                     {"parts", groups.size()},
                                     {"items", std::move(groups[it])}}
                          .dump());
    }
    return out;
}

base::result<state_ptr> decode_snapshot(std::span<const std::string> parts) {
    return internal::decode_checked<state_ptr>("a configuration snapshot", [parts]() -> base::result<state_ptr> {
        internal::snapshot_content content;
        for (std::size_t it = 0; it < parts.size(); ++it) {
            BOOST_OUTCOME_TRYV(internal::read_part(nlohmann::json::parse(parts[it]), it, parts.size(), content));
        }
        if (parts.empty()) {
            return boost::outcome_v2::failure(internal::unreadable("a configuration snapshot has no parts"));
        }
        return std::make_shared<const config_state>(content.version, std::move(content.change_id),
                                                    std::move(content.values), std::move(content.origins));
    });
}

base::result<state_ptr> apply_changes(const state_ptr &state, std::span<const change> changes) {
    auto version = state->version();
    auto id = state->change_id();
    auto values = state->values();
    auto origins = state->origins();
    for (const auto &it : changes) {
        if (it.version == version && it.id != id) {
            return boost::outcome_v2::failure(
                internal::diverged("two different changes have the configuration version " + std::to_string(version)));
        }
        if (it.version <= version) {
            continue;
        }
        if (it.version != version + 1) {
            return base::fail(base::error_kind::not_found, "config_gap",
                              "changes after configuration version " + std::to_string(version) +
                                  " are missing; read the snapshot");
        }
        for (const auto &item : it.items) {
            if (find_item(values, item.item) != item.before) {
                return boost::outcome_v2::failure(internal::diverged("change " + it.id + " replaces a value of " +
                                                                     item.item + " that is not in force"));
            }
            BOOST_OUTCOME_TRYV(set_item(values, item.item, item.after));
            origins[item.item] = {it.version, it.id, it.author, it.time};
        }
        version = it.version;
        id = it.id;
    }
    return std::make_shared<const config_state>(version, std::move(id), std::move(values), std::move(origins));
}

base::result<state_ptr> apply_change(const state_ptr &state, const change &value) {
    return apply_changes(state, {&value, 1});
}

} // namespace dotterelstack::config
