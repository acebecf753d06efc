#include "store/http_store.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace dotterelstack::store {

namespace internal {

std::string percent_encode(std::string_view text) {
    static constexpr std::string_view digits = "0123456789ABCDEF";
    static constexpr std::string_view plain = "-._~/";
    std::string out;
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        const bool alphanumeric =
            (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
        if (alphanumeric || plain.find(it) != std::string_view::npos) {
            out.push_back(it);
        } else {
            out.push_back('%');
            out.push_back(digits[byte >> 4U]);
            out.push_back(digits[byte & 15U]);
        }
    }
    return out;
}

std::optional<std::uint64_t> parse_version(const http::response &answer) {
    auto text = http::find_field(answer.fields, "ETag").value_or("");
    if (text.size() > 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    const bool whole = ec == std::errc{} && end == text.data() + text.size() && !text.empty();
    return whole && out != absent ? std::optional{out} : std::nullopt;
}

base::error status_error(int status, bool writing) {
    const std::string text = "status " + std::to_string(status);
    if (status == 429) {
        return {base::error_kind::unavailable, "store_limited", "the store is limiting calls; retry with backoff"};
    }
    if (status >= 400 && status < 500) {
        return bad_answer(base::error_kind::invalid_argument, text);
    }
    if (writing) {
        return {base::error_kind::unknown_outcome, "store_failed",
                "the store answered " + text + " to a write; read the object before repeating"};
    }
    return {base::error_kind::unavailable, "store_failed", "the store answered " + text + "; retry with backoff"};
}

object parse_object(const nlohmann::json &item) {
    return {item.at("key").get<std::string>(), item.at("version").get<std::uint64_t>(),
            item.value("value", std::string{})};
}

std::string quoted(std::uint64_t version) {
    return '"' + std::to_string(version) + '"';
}

http::field precondition(std::uint64_t expected) {
    return expected == absent ? http::field{"If-None-Match", "*"} : http::field{"If-Match", quoted(expected)};
}

} // namespace internal

http_store::http_store(http::client &client, std::string address, http_store_options options)
    : client_{client}, address_{std::move(address)}, options_{options} {
    const http_store_options defaults{};
    if (options_.timeout.count() <= 0) {
        options_.timeout = defaults.timeout;
    }
    if (options_.connect_timeout.count() <= 0) {
        options_.connect_timeout = defaults.connect_timeout;
    }
}

base::result<http::response> http_store::read(const std::string &target, const watch_limits &limits) {
    auto answer = call_read(client_, address_, target, options_, limits);
    if (!answer) {
        return answer;
    }
    const int status = answer.value().status;
    if (status != 200 && status != 404) {
        return boost::outcome_v2::failure(internal::status_error(status, false));
    }
    return answer;
}

base::result<http::response> http_store::write(const http::request &message) {
    auto answer = call_write(client_, address_, message, options_);
    if (!answer) {
        return answer;
    }
    const int status = answer.value().status;
    if (status == 412) {
        return base::fail(base::error_kind::conflict, "version_changed",
                          "another writer changed " + message.target + "; read it again, then decide");
    }
    if (status != 200) {
        return boost::outcome_v2::failure(internal::status_error(status, true));
    }
    return answer;
}

base::result<std::optional<object>> http_store::get(std::string_view key) {
    BOOST_OUTCOME_TRY(answer, read("/v1/objects/" + internal::percent_encode(key)));
    if (answer.status == 404) {
        return std::optional<object>{};
    }
    const auto version = internal::parse_version(answer);
    if (!version) {
        return boost::outcome_v2::failure(bad_answer(base::error_kind::unavailable, "an object without ETag"));
    }
    return std::optional<object>{object{std::string{key}, *version, std::move(answer.body)}};
}

base::result<std::uint64_t> http_store::put(std::string_view key, std::string_view value, std::uint64_t expected) {
    const http::request message{
        "PUT", "/v1/objects/" + internal::percent_encode(key), {internal::precondition(expected)}, std::string{value}};
    BOOST_OUTCOME_TRY(answer, write(message));
    const auto version = internal::parse_version(answer);
    if (!version) {
        return boost::outcome_v2::failure(bad_answer(base::error_kind::unknown_outcome, "a write answer without ETag"));
    }
    return *version;
}

base::result<void> http_store::erase(std::string_view key, std::uint64_t expected) {
    BOOST_OUTCOME_TRY(answer, write({"DELETE",
                                     "/v1/objects/" + internal::percent_encode(key),
                                     {{"If-Match", internal::quoted(expected)}},
                                     ""}));
    (void)answer;
    return base::success();
}

base::result<std::vector<object>> http_store::list(std::string_view prefix) {
    BOOST_OUTCOME_TRY(answer, read("/v1/objects?prefix=" + internal::percent_encode(prefix)));
    try {
        const auto body = nlohmann::json::parse(answer.body);
        std::vector<object> out;
        for (const auto &it : body.at("objects")) {
            out.push_back(internal::parse_object(it));
        }
        return out;
    } catch (const nlohmann::json::exception &ec) {
        return boost::outcome_v2::failure(bad_answer(base::error_kind::unavailable, ec.what()));
    }
}

base::result<watch_batch> http_store::watch(std::string_view prefix, std::uint64_t since, const watch_limits &limits) {
    const auto milliseconds = base::to_milliseconds(limits.wait);
    const std::string target = "/v1/watch?prefix=" + internal::percent_encode(prefix) +
                               "&since=" + std::to_string(since) + "&wait_ms=" + std::to_string(milliseconds);
    BOOST_OUTCOME_TRY(answer, read(target, since == 0 ? watch_limits{.wait = limits.wait} : limits));
    try {
        const auto body = nlohmann::json::parse(answer.body);
        watch_batch out;
        out.bytes = answer.body.size();
        out.revision = body.at("revision").get<std::uint64_t>();
        for (const auto &it : body.at("events")) {
            out.events.push_back({internal::parse_object(it), it.value("deleted", false)});
        }
        return out;
    } catch (const nlohmann::json::exception &ec) {
        return boost::outcome_v2::failure(bad_answer(base::error_kind::unavailable, ec.what()));
    }
}

} // namespace dotterelstack::store
