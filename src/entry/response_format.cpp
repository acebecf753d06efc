#include "entry/response_format.hpp"

#include <nlohmann/json.hpp>

namespace dotterelstack::entry {

using nlohmann::json;

namespace internal {

json usage_json(token_usage it) {
    return {{"prompt_tokens", it.prompt_tokens},
            {"completion_tokens", it.completion_tokens},
            {"total_tokens", it.prompt_tokens + it.completion_tokens}};
}

std::string to_event(const json &it) {
    return "data: " + it.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

} // namespace internal

response_format::response_format(std::string_view id, const caller_request &it, std::int64_t created)
    : id_{id}, model_{it.model}, chat_{it.kind == request_kind::chat}, created_{created} {}

std::string response_format::token_event(std::string_view text) const {
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (chat_) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    return internal::to_event({{"id", id_},
                               {"object", chat_ ? "chat.completion.chunk" : "text_completion"},
                               {"created", created_},
                               {"model", model_},
                               {"choices", json::array({choice})}});
}

std::string response_format::end_events(std::string_view finish_reason, token_usage usage) const {
    json choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (chat_) {
        choice["delta"] = json::object();
    } else {
        choice["text"] = "";
    }
    return internal::to_event({{"id", id_},
                               {"object", chat_ ? "chat.completion.chunk" : "text_completion"},
                               {"created", created_},
                               {"model", model_},
                               {"choices", json::array({choice})},
                               {"usage", internal::usage_json(usage)}}) +
           "data: [DONE]\n\n";
}

std::string response_format::full_response(std::string_view text, std::string_view finish_reason,
                                           token_usage usage) const {
    json choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (chat_) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    const json out{{"id", id_},
                   {"object", chat_ ? "chat.completion" : "text_completion"},
                   {"created", created_},
                   {"model", model_},
                   {"choices", json::array({choice})},
                   {"usage", internal::usage_json(usage)}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace dotterelstack::entry
