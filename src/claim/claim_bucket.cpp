#include "claim/claim_bucket.hpp"

#include <array>

#include "base/id.hpp"
#include "store/settled_write.hpp"

namespace dotterelstack::claim {

namespace internal {

// Key hash, quotes, separators and a part of the write id of the bucket.
constexpr std::size_t entry_overhead_bytes = 80;

constexpr std::array<std::string_view, 3> state_names{"claimed", "answered", "unknown"};

bool is_utf8(const std::string &text) {
    try {
        (void)nlohmann::json(text).dump();
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

std::string hex_encode(std::string_view text) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        out.push_back(digits[byte >> 4U]);
        out.push_back(digits[byte & 15U]);
    }
    return out;
}

std::string hex_decode(const std::string &text) {
    std::string out;
    for (std::size_t it = 0; it + 1 < text.size(); it += 2) {
        out.push_back(static_cast<char>(std::stoi(text.substr(it, 2), nullptr, 16)));
    }
    return out;
}

nlohmann::json entry_json(const claim_entry &entry) {
    nlohmann::json out{{"state", state_names[static_cast<std::size_t>(entry.state)]},
                       {"owner", entry.owner},
                       {"request", entry.request},
                       {"body_hash", entry.body_hash},
                       {"window", entry.window}};
    if (entry.state == claim_state::answered) {
        const bool plain = is_utf8(entry.answer.body);
        out["status"] = entry.answer.status;
        out["content_type"] = is_utf8(entry.answer.content_type) ? entry.answer.content_type : std::string{};
        out["complete"] = entry.answer.complete;
        out[plain ? "answer" : "answer_hex"] = plain ? entry.answer.body : hex_encode(entry.answer.body);
    }
    return out;
}

claim_entry parse_entry(const nlohmann::json &value) {
    claim_entry out;
    const auto state = value.at("state").get<std::string>();
    out.state = state == state_names[0]   ? claim_state::claimed
                : state == state_names[1] ? claim_state::answered
                                          : claim_state::unknown;
    out.owner = value.at("owner").get<std::string>();
    out.request = value.at("request").get<std::string>();
    out.body_hash = value.at("body_hash").get<std::string>();
    out.window = value.at("window").get<std::uint64_t>();
    if (out.state == claim_state::answered) {
        out.answer.status = value.at("status").get<int>();
        out.answer.content_type = value.at("content_type").get<std::string>();
        out.answer.complete = value.at("complete").get<bool>();
        out.answer.body = value.contains("answer") ? value.at("answer").get<std::string>()
                                                   : hex_decode(value.at("answer_hex").get<std::string>());
    }
    return out;
}

} // namespace internal

std::string claim_key(std::string_view organisation, std::string_view service, std::string_view key) {
    // The length prefixes distinguish ("a", "bc") from ("ab", "c").
    std::string text;
    for (const auto it : {organisation, service, key}) {
        text += std::to_string(it.size()) + ':';
        text += it;
    }
    return base::sha256_hex(text);
}

std::size_t bucket_of(std::string_view key_hash, std::size_t buckets) {
    return std::stoul(std::string{key_hash.substr(0, 8)}, nullptr, 16) % buckets;
}

std::string bucket_key(std::size_t bucket) {
    return "claim/" + std::to_string(bucket);
}

base::result<claim_bucket> parse_bucket(const std::optional<store::object> &item) {
    claim_bucket out;
    if (!item) {
        return out;
    }
    BOOST_OUTCOME_TRY(value, store::parse_value(*item));
    try {
        out.sealed = value.at("sealed").get<std::uint64_t>();
        for (const auto &[key, entry] : value.at("claims").items()) {
            out.claims.emplace(key, internal::parse_entry(entry));
        }
    } catch (const std::exception &ec) {
        return base::fail(base::error_kind::internal, "bad_claim_bucket",
                          item->key + " is no claim bucket (" + ec.what() + "); repair it, removing it forgets claims");
    }
    return out;
}

nlohmann::json to_json(const claim_bucket &bucket) {
    auto claims = nlohmann::json::object();
    for (const auto &[key, entry] : bucket.claims) {
        claims[key] = internal::entry_json(entry);
    }
    return {{"sealed", bucket.sealed}, {"claims", std::move(claims)}};
}

std::size_t stored_bytes(const claim_entry &entry) {
    return internal::entry_json(entry).dump().size() + internal::entry_overhead_bytes;
}

} // namespace dotterelstack::claim
