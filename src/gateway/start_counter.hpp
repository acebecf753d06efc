#pragma once

#include <string_view>

namespace dotterelstack::gateway {

/** @brief Counts requests that started to run, for usage. */
class start_counter {
public:
    start_counter() = default;
    start_counter(const start_counter &) = delete;
    start_counter &operator=(const start_counter &) = delete;
    virtual ~start_counter() = default;

    virtual void on_start(std::string_view organisation) = 0;
};

} // namespace dotterelstack::gateway
