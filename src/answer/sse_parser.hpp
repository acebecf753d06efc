#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace dotterelstack::answer {

/**
 * @brief Incremental parser that splits a byte stream into server-sent events and reports their data.
 *
 * Follows the event stream format of the HTML standard; comments and fields other than `data` are skipped.
 */
class sse_parser {
public:
    /** @param on_event Called with the data of each event; returning false stops the parser. */
    explicit sse_parser(std::function<bool(std::string_view data)> on_event) : on_event_{std::move(on_event)} {}

    /** @return False if `on_event` returned false, which ends the parsing. */
    [[nodiscard]] bool feed(std::string_view part);

private:
    [[nodiscard]] bool process_line(std::string_view line);

    const std::function<bool(std::string_view)> on_event_;
    std::string buffer_;
    std::string data_;
    bool has_data_{false};
};

} // namespace dotterelstack::answer
