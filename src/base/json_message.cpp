#include "base/json_message.hpp"

namespace dotterelstack::base {

nlohmann::json parse_message(std::string_view text) {
    using nlohmann::json;
    bool too_deep = false;
    // Parts that are nested too deeply are not kept, so that they cost no memory.
    const auto within_depth = [&too_deep](int depth, json::parse_event_t, json &) {
        too_deep = too_deep || depth > max_message_depth;
        return depth <= max_message_depth;
    };
    auto out = json::parse(text, within_depth, false);
    return too_deep ? json(json::value_t::discarded) : out;
}

} // namespace dotterelstack::base
