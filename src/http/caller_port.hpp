#pragma once

#include <string_view>

#include "http/message.hpp"

namespace dotterelstack::http {

/** @brief The connection to one caller. Calls return at once. */
class caller_port {
public:
    caller_port() = default;
    caller_port(const caller_port &) = delete;
    caller_port &operator=(const caller_port &) = delete;
    virtual ~caller_port() = default;

    virtual void respond(const response &answer) = 0;
    virtual void start(int status, const field_list &fields) = 0;

    /** @return False when the caller has gone or reads too slowly. */
    [[nodiscard]] virtual bool write(std::string_view part) = 0;
    virtual void finish() = 0;

    /** @brief Breaks the connection, so that the response is seen to be incomplete. */
    virtual void abort() = 0;
    [[nodiscard]] virtual bool gone() const = 0;
};

} // namespace dotterelstack::http
