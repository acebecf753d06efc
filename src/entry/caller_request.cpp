#include "entry/caller_request.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

#include "base/json_message.hpp"
#include "base/stable_hash.hpp"

namespace dotterelstack::entry {

using nlohmann::json;

namespace internal {

constexpr std::string_view services_prefix = "/services/";
constexpr std::size_t max_prefix_blocks = 64;

auto refuse(int status, std::string code, std::string message) {
    return boost::outcome_v2::failure(dispatch::refusal{status, std::move(code), std::move(message)});
}

std::size_t header_size(const http::request &message) {
    std::size_t n = message.target.size();
    for (const auto &it : message.fields) {
        n += it.name.size() + it.value.size();
    }
    return n;
}

std::string bearer_key(const http::request &message) {
    constexpr std::string_view scheme = "bearer ";
    const auto value = http::find_field(message.fields, "authorization").value_or("");
    if (value.size() <= scheme.size()) {
        return {};
    }
    const bool bearer = std::ranges::equal(value.substr(0, scheme.size()), scheme,
                                           [](unsigned char a, char b) { return std::tolower(a) == b; });
    return bearer ? std::string{value.substr(scheme.size())} : std::string{};
}

/** Joins the texts of chat messages into one prompt. Returns false if they are malformed. */
bool read_messages(const json &body, std::string &prompt) {
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return false;
    }
    for (const auto &it : *messages) {
        if (!it.is_object() || !it.contains("role") || !it["role"].is_string() || !it.contains("content") ||
            !it["content"].is_string()) {
            return false;
        }
        prompt += it["role"].get<std::string>() + ": " + it["content"].get<std::string>() + "\n";
    }
    return true;
}

bool read_prompt(const json &body, std::string &prompt) {
    const auto it = body.find("prompt");
    if (it == body.end() || !it->is_string()) {
        return false;
    }
    prompt = it->get<std::string>();
    return !prompt.empty();
}

parse_result parse_completion(caller_request out, const http::request &message, const request_limits &limits) {
    if (message.method != "POST") {
        return refuse(405, "method_not_allowed", "use POST for this path");
    }
    // The parser also rejects text that is not valid UTF-8, or is nested so deeply that copies need much stack.
    const auto body = base::parse_message(message.body);
    if (body.is_discarded() || !body.is_object()) {
        return refuse(400, "bad_json", "the body must be one JSON object in UTF-8");
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        return refuse(400, "missing_model", "name the model in the field \"model\"");
    }
    out.model = body["model"].get<std::string>();
    const bool chat = out.kind == request_kind::chat;
    if (!(chat ? read_messages(body, out.prompt) : read_prompt(body, out.prompt))) {
        return refuse(400, "bad_prompt",
                      chat ? "send \"messages\", a list of objects with the texts \"role\" and \"content\""
                           : "send \"prompt\", a text that is not empty");
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean()) {
        return refuse(400, "bad_stream", "\"stream\" must be true or false");
    }
    out.stream = stream != body.end() && stream->get<bool>();
    out.max_tokens = limits.default_max_tokens;
    if (const auto max = body.find("max_tokens"); max != body.end()) {
        const bool whole = max->is_number_unsigned() && max->get<std::uint64_t>() >= 1;
        if (!whole || max->get<std::uint64_t>() > limits.max_tokens) {
            return refuse(400, "bad_max_tokens",
                          "\"max_tokens\" must be a whole number from 1 to " + std::to_string(limits.max_tokens));
        }
        out.max_tokens = max->get<std::uint64_t>();
    }
    if (const auto priority = body.find("priority"); priority != body.end()) {
        if (!priority->is_number_integer()) {
            return refuse(400, "bad_priority", "\"priority\" must be a whole number");
        }
        out.priority = std::clamp<std::int64_t>(priority->get<std::int64_t>(), -10, 10);
    }
    out.prompt_tokens = estimate_tokens(out.prompt);
    return out;
}

parse_result parse_call(caller_request out, const http::request &message) {
    std::string_view rest = std::string_view{message.target}.substr(services_prefix.size());
    const auto slash = rest.find('/');
    out.service = rest.substr(0, std::min(slash, rest.find('?')));
    out.path = slash == std::string_view::npos ? "/" : std::string{rest.substr(slash)};
    if (out.service.empty() || out.path.find("..") != std::string::npos) {
        return refuse(404, "unknown_path", "use /services/{service}/{path} without \"..\"");
    }
    return out;
}

} // namespace internal

parse_result parse_caller_request(const http::request &message, const request_limits &limits) {
    caller_request out;
    out.method = message.method;
    out.key = internal::bearer_key(message);
    out.idempotency_key = http::find_field(message.fields, "idempotency-key").value_or("");
    out.content_type = http::find_field(message.fields, "content-type").value_or("");
    out.body = message.body;
    if (internal::header_size(message) > limits.header_bytes) {
        return internal::refuse(431, "headers_too_large", "send fewer or shorter header fields");
    }
    if (out.idempotency_key.size() > limits.idempotency_key_bytes) {
        return internal::refuse(400, "bad_idempotency_key", "use at most 255 bytes as Idempotency-Key");
    }
    const auto path = message.path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        out.kind = path == "/v1/completions" ? request_kind::completion : request_kind::chat;
        out.path = path;
        return internal::parse_completion(std::move(out), message, limits);
    }
    if (path.starts_with(internal::services_prefix)) {
        out.kind = request_kind::call;
        return internal::parse_call(std::move(out), message);
    }
    return internal::refuse(404, "unknown_path",
                            "use /v1/completions, /v1/chat/completions or /services/{service}/{path}");
}

std::uint64_t estimate_tokens(std::string_view text) noexcept {
    constexpr std::uint64_t bytes_per_token = 4;
    std::uint64_t n = 0;
    std::uint64_t word = 0;
    for (const char it : text) {
        const bool space = it == ' ' || it == '\n' || it == '\t' || it == '\r';
        if (space) {
            n += word == 0 ? 0 : std::max<std::uint64_t>(1, word / (bytes_per_token * 2));
            word = 0;
        } else {
            ++word;
        }
    }
    n += word == 0 ? 0 : std::max<std::uint64_t>(1, word / (bytes_per_token * 2));
    return std::max<std::uint64_t>(1, n);
}

std::vector<std::uint64_t> prefix_hashes(std::string_view model, std::string_view prompt, std::uint32_t block_tokens) {
    std::vector<std::uint64_t> out;
    // Hashes are chained, so that each one identifies the whole prefix.
    auto hash = base::fnv1a(model);
    std::uint64_t tokens = 0;
    bool in_word = false;
    for (const char it : prompt) {
        hash = base::fnv1a(it, hash);
        const bool space = it == ' ' || it == '\n' || it == '\t' || it == '\r';
        if (space && in_word) {
            ++tokens;
            if (tokens % block_tokens == 0 && out.size() < internal::max_prefix_blocks) {
                out.push_back(hash);
            }
        }
        in_word = !space;
    }
    return out;
}

} // namespace dotterelstack::entry
