#include "answer/chunk.hpp"

#include <nlohmann/json.hpp>

namespace dotterelstack::answer {

using nlohmann::json;

std::string encode_line(const chunk_message &message) {
    json out;
    if (const auto *it = std::get_if<chunk>(&message)) {
        out = {{"request", it->request}, {"attempt", it->attempt}, {"offset", it->offset}, {"text", it->text}};
    } else {
        const auto &end = std::get<chunk_end>(message);
        out = {{"request", end.request},
               {"attempt", end.attempt},
               {"total", end.total},
               {"prompt_tokens", end.prompt_tokens},
               {"finish_reason", end.finish_reason}};
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

base::result<chunk_message> decode_line(std::string_view line) {
    try {
        const auto it = json::parse(line);
        if (it.contains("total")) {
            return chunk_message{chunk_end{it.at("request"), it.at("attempt"), it.at("total"), it.at("prompt_tokens"),
                                           it.at("finish_reason")}};
        }
        return chunk_message{chunk{it.at("request"), it.at("attempt"), it.at("offset"), it.at("text")}};
    } catch (const json::exception &) {
        return base::fail(
            base::error_kind::invalid_argument, "bad_chunk",
            "the agent sent a line that is not a chunk message; check that agent and entry run the same version");
    }
}

} // namespace dotterelstack::answer
