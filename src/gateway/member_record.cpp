#include "gateway/member_record.hpp"

#include <charconv>

#include "store/settled_write.hpp"

namespace dotterelstack::gateway {

using nlohmann::json;

namespace internal {

auto bad_record(const std::string &key, const char *why) {
    return base::fail(base::error_kind::internal, "bad_stored_value",
                      key + " cannot be decoded (" + why + "); run the same release on all hosts");
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
                {"window", record.window}};
}

base::result<member_record> parse_member(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        member_record out{value.at("name").get<std::string>(), value.at("peers").get<std::string>(), {}, 0};
        for (const auto &[window, counts] : value.at("windows").items()) {
            out.starts[internal::to_window(window)] = counts.get<start_counts>();
        }
        out.window = value.at("window").get<std::uint64_t>();
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
