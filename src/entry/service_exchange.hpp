#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "entry/agent_exchange.hpp"

namespace dotterelstack::entry {

/** @brief Exchange of a call of a plain service: the response is forwarded as a whole or not at all. */
class service_exchange final : public agent_exchange {
public:
    using agent_exchange::agent_exchange;

    [[nodiscard]] dispatch::call_event_result on_data(std::string_view part) override;
    [[nodiscard]] dispatch::call_event_result on_end(dispatch::call_end how, const http::response &answer) override;

private:
    void begin_attempt(std::uint32_t attempt) override;
    void on_response_head(const http::field_list &fields) override;
    void add_fields(http::field_list &fields) const override;
    void send_response() override;
    [[nodiscard]] claim::stored_response response_to_store() const override;
    [[nodiscard]] std::uint64_t generated_tokens() const noexcept override { return 0; }
    [[nodiscard]] std::uint64_t prompt_tokens() const noexcept override { return request().prompt_tokens; }
    [[nodiscard]] bool started() const noexcept override { return false; }

    int status_{0};
    std::string content_type_;
    std::uint64_t total_{0}; /**< Length of the body as announced by the agent. */
    std::string body_;
};

} // namespace dotterelstack::entry
