#include "gateway/quota_codec.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/json_message.hpp"

namespace dotterelstack::gateway {

using nlohmann::json;

namespace internal {

// Greatest amount in a message. Sums of a few of them fit into 64 bits.
constexpr std::int64_t greatest_amount = std::int64_t{1} << 56U;

std::int64_t amount(const json &from) {
    const auto out = from.get<std::int64_t>();
    if (out > greatest_amount || out < -greatest_amount) {
        throw std::out_of_range{"an amount is out of range"};
    }
    return out;
}

/** Reads a message with a function that may throw. */
template<typename Type, typename Read>
std::optional<Type> parse(std::string_view text, Read read) {
    try {
        const auto from = base::parse_message(text);
        Type out;
        out.sequence = from.at("sequence").get<std::uint64_t>();
        read(from, out);
        return out;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace internal

std::string to_text(const limits::quota_report &report) {
    json rows = json::array();
    for (const auto &it : report.rows) {
        rows.push_back(json::array({it.organisation, it.spent, it.ceiling, it.wanted}));
    }
    return json{{"gateway", report.gateway},
                {"incarnation", report.incarnation},
                {"sequence", report.sequence},
                {"rows", std::move(rows)}}
        .dump();
}

std::string to_text(const limits::quota_answer &answer) {
    json rows = json::array();
    for (const auto &it : answer.rows) {
        rows.push_back(json::array({it.organisation, it.ceiling, it.level}));
    }
    return json{{"sequence", answer.sequence}, {"rows", std::move(rows)}, {"dry", answer.dry}}.dump();
}

std::optional<limits::quota_report> parse_quota_report(std::string_view text) {
    return internal::parse<limits::quota_report>(text, [](const json &from, limits::quota_report &out) {
        from.at("gateway").get_to(out.gateway);
        from.at("incarnation").get_to(out.incarnation);
        for (const auto &it : from.at("rows")) {
            out.rows.push_back({it.at(0).get<std::string>(), internal::amount(it.at(1)), internal::amount(it.at(2)),
                                internal::amount(it.at(3))});
        }
    });
}

std::optional<limits::quota_answer> parse_quota_answer(std::string_view text) {
    return internal::parse<limits::quota_answer>(text, [](const json &from, limits::quota_answer &out) {
        for (const auto &it : from.at("rows")) {
            out.rows.push_back({it.at(0).get<std::string>(), internal::amount(it.at(1)), internal::amount(it.at(2))});
        }
        from.at("dry").get_to(out.dry);
    });
}

} // namespace dotterelstack::gateway
