#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dotterelstack::http {

/** @brief One header field. Names compare without regard to case. */
struct field {
    std::string name;
    std::string value;
};

using field_list = std::vector<field>;

/**
 * @brief Looks a header field up.
 * @param fields Fields to search.
 * @param name Name in any case.
 * @return Value of the first match, or nothing.
 */
[[nodiscard]] std::optional<std::string_view> find_field(const field_list &fields, std::string_view name) noexcept;

/** @brief An HTTP request, received or to be sent. */
struct request {
    std::string method{"GET"};
    std::string target; /**< Path and query as on the wire, beginning with a slash. */
    field_list fields;
    std::string body;

    /** @return `target` without its query. */
    [[nodiscard]] std::string_view path() const noexcept;

    /** @return Decoded query parameters in order. */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> query() const;

    /** @return First query parameter of that name, decoded. */
    [[nodiscard]] std::optional<std::string> query_value(std::string_view name) const;
};

/** @brief A complete HTTP response. */
struct response {
    int status{0};
    field_list fields;
    std::string body;
};

} // namespace dotterelstack::http
