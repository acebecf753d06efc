#pragma once

#include <utility>

#include "http/caller_port.hpp"
#include "http/server.hpp"

namespace dotterelstack::http {

/** @brief `caller_port` over one exchange of the server. */
class exchange_caller final : public caller_port {
public:
    explicit exchange_caller(exchange call) : call_{std::move(call)} {}

    void respond(const response &answer) override { call_.respond(answer); }
    void start(int status, const field_list &fields) override { call_.start(status, fields); }
    [[nodiscard]] bool write(std::string_view part) override { return call_.write(part); }
    void finish() override { call_.finish(); }
    void abort() override { call_.abort(); }
    [[nodiscard]] bool gone() const override { return call_.caller_gone(); }

private:
    const exchange call_;
};

} // namespace dotterelstack::http
