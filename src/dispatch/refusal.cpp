#include "dispatch/refusal.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "base/seconds.hpp"

namespace dotterelstack::dispatch {

namespace internal {

std::string seconds_text(base::duration value, seconds_form form) {
    if (form == seconds_form::whole) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(value).count();
        return std::to_string(std::max<std::int64_t>(1, seconds));
    }
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%.3f", base::to_seconds(value));
    return {buf.data(), static_cast<std::size_t>(n)};
}

} // namespace internal

std::string error_body(const refusal &it) {
    const nlohmann::json body{
        {"error", {{"code", it.code}, {"message", it.message}, {"ran", it.ran == ran_claim::no ? "no" : "unknown"}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::response to_response(const refusal &it, seconds_form form) {
    http::response out{it.status, {{"Content-Type", "application/json"}}, error_body(it)};
    if (it.status == 401) {
        out.fields.push_back({"WWW-Authenticate", "Bearer"});
    }
    if (it.retry_after) {
        out.fields.push_back({"Retry-After", internal::seconds_text(*it.retry_after, form)});
    }
    return out;
}

} // namespace dotterelstack::dispatch
