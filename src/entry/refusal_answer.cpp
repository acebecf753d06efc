#include "entry/refusal_answer.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace dotterelstack::entry {

std::string error_body(const refusal_answer &it) {
    const nlohmann::json body{
        {"error", {{"code", it.code}, {"message", it.message}, {"ran", it.ran == ran_claim::no ? "no" : "unknown"}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::response to_response(const refusal_answer &it) {
    http::response out{it.status, {{"Content-Type", "application/json"}}, error_body(it)};
    if (it.status == 401) {
        out.fields.push_back({"WWW-Authenticate", "Bearer"});
    }
    if (it.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*it.retry_after).count();
        out.fields.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(1, seconds))});
    }
    return out;
}

} // namespace dotterelstack::entry
