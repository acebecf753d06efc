#include "agent/completion_relay.hpp"

#include <nlohmann/json.hpp>

#include "base/json_message.hpp"

namespace dotterelstack::agent {

using nlohmann::json;

namespace internal {

std::optional<std::string> token_text(const json &choice) {
    if (choice.contains("text") && choice["text"].is_string()) {
        return choice["text"].get<std::string>();
    }
    if (choice.contains("delta") && choice["delta"].contains("content") && choice["delta"]["content"].is_string()) {
        return choice["delta"]["content"].get<std::string>();
    }
    return std::nullopt;
}

} // namespace internal

completion_relay::completion_relay(std::string request, std::uint32_t attempt, std::uint64_t offset,
                                   std::function<bool(std::string_view line)> write)
    : request_{std::move(request)}, attempt_{attempt}, write_{std::move(write)},
      next_offset_{offset}, parser_{[this](std::string_view data) { return on_event(data); }} {}

bool completion_relay::feed(std::string_view part) {
    return parser_.feed(part);
}

bool completion_relay::on_event(std::string_view data) {
    if (data == "[DONE]") {
        complete_ = true;
        const answer::chunk_end end{request_, attempt_, next_offset_, prompt_tokens_, finish_reason_};
        return write_(answer::encode_line(end));
    }
    const auto event = base::parse_message(data);
    if (event.is_discarded() || !event.is_object()) {
        return false;
    }
    if (const auto usage = event.find("usage"); usage != event.end() && usage->is_object()) {
        prompt_tokens_ = base::field_or(*usage, "prompt_tokens", std::uint64_t{0});
    }
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty()) {
        return true;
    }
    const auto &choice = choices->front();
    if (const auto reason = choice.find("finish_reason"); reason != choice.end() && reason->is_string()) {
        finish_reason_ = reason->get<std::string>();
    }
    const auto text = internal::token_text(choice);
    if (!text || text->empty()) {
        return true;
    }
    return write_(answer::encode_line(answer::chunk{request_, attempt_, next_offset_++, *text}));
}

base::result<http::request> engine_request(std::string_view body, std::string_view path, std::string_view request_id,
                                           std::uint64_t offset, std::int64_t priority) {
    auto message = base::parse_message(body);
    if (message.is_discarded() || !message.is_object()) {
        return base::fail(base::error_kind::invalid_argument, "bad_body", "the body is no JSON object; send one");
    }
    message["stream"] = true;
    message["resume_from"] = offset;
    message["priority"] = priority;
    http::request out;
    out.method = "POST";
    out.target = path;
    out.fields = {{"Content-Type", "application/json"}, {"X-Request-Id", std::string{request_id}}};
    out.body = message.dump();
    return out;
}

} // namespace dotterelstack::agent
