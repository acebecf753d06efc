#include "gateway/member_record.hpp"

#include <charconv>
#include <cmath>

#include "log/event.hpp"
#include "store/settled_write.hpp"

namespace dotterelstack::gateway {

using nlohmann::json;

namespace internal {

auto bad_record(const std::string &key, const char *why) {
    return base::fail(base::error_kind::internal, "bad_stored_value",
                      key + " cannot be decoded (" + why + "); run the same release on all hosts");
}

// Logarithms are stored as integers of this many parts, which keeps records short.
constexpr double log_parts = 1000;

json to_json(const speed::speed_record &record) {
    json out = json::object();
    for (const auto &[server, it] : record) {
        out[server] = {std::lround(it.log_time * log_parts), std::lround(it.samples)};
    }
    return out;
}

/** Entries that cannot be read are left out: speeds are hints, and the rest of the record is needed. */
speed::speed_record parse_speeds(const std::string &key, const json &record) {
    speed::speed_record out;
    const auto speeds = record.find("speeds");
    if (speeds == record.end()) {
        return out;
    }
    bool unreadable = !speeds->is_object();
    for (const auto &[server, it] : speeds->items()) {
        const bool readable = it.is_array() && it.size() == 2 && it[0].is_number() && it[1].is_number_unsigned();
        if (readable && out.size() < speed::max_recorded) {
            out[server] = {it[0].get<double>() / log_parts, it[1].get<double>()};
        }
        unreadable = unreadable || !readable;
    }
    if (unreadable) {
        log::write("member_unreadable", {{"object", key}, {"reason", "a speed of a server cannot be decoded"}});
    }
    return out;
}

std::uint64_t to_window(const std::string &text) {
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace internal

json to_json(const start_counts &counts) {
    return json{{"starts", counts}};
}

json to_json(const member_record &record) {
    json windows = json::object();
    for (const auto &[window, counts] : record.starts) {
        windows[std::to_string(window)] = counts;
    }
    return json{{"name", record.name},
                {"peers", record.peer_address},
                {"windows", std::move(windows)},
                {"window", record.window},
                {"speeds", internal::to_json(record.speeds)}};
}

base::result<member_record> parse_member(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        member_record out{value.at("name").get<std::string>(), value.at("peers").get<std::string>(), {}, 0};
        for (const auto &[window, counts] : value.at("windows").items()) {
            out.starts[internal::to_window(window)] = counts.get<start_counts>();
        }
        out.window = value.at("window").get<std::uint64_t>();
        out.speeds = internal::parse_speeds(item.key, value);
        return out;
    } catch (const json::exception &ec) {
        return internal::bad_record(item.key, ec.what());
    }
}

std::string sealed_starts_key(std::uint64_t window) {
    return std::string{sealed_starts_prefix} + std::to_string(window);
}

base::result<start_counts> parse_counts(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        return value.at("starts").get<start_counts>();
    } catch (const json::exception &ec) {
        return internal::bad_record(item.key, ec.what());
    }
}

} // namespace dotterelstack::gateway
