#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "answer/response_assembler.hpp"
#include "entry/agent_exchange.hpp"
#include "entry/response_format.hpp"

namespace dotterelstack::entry {

/** @brief Exchange of a completion: assembles the tokens in order across attempts and formats them for the caller. */
class completion_exchange final : public agent_exchange {
public:
    /** @param created Creation time in seconds since the Unix epoch, shown to the caller. */
    completion_exchange(const exchange_context &context, dispatch::request_identity ident, caller_request parsed,
                        std::string key_hash, std::int64_t created);

    [[nodiscard]] dispatch::call_event_result on_data(std::string_view part) override;
    [[nodiscard]] dispatch::call_event_result on_end(dispatch::call_end how, const http::response &answer) override;

private:
    void begin_attempt(std::uint32_t attempt) override;
    void on_response_head(const http::field_list & /*fields*/) override {}
    void add_fields(http::field_list &fields) const override;
    void send_response() override;
    [[nodiscard]] claim::stored_response response_to_store() const override { return {}; }
    [[nodiscard]] std::uint64_t generated_tokens() const noexcept override { return assembler_.next_offset(); }
    [[nodiscard]] std::uint64_t prompt_tokens() const noexcept override { return prompt_tokens_; }
    [[nodiscard]] bool started() const noexcept override { return started_; }

    [[nodiscard]] dispatch::call_event_result process_line(std::string_view line);
    [[nodiscard]] bool deliver(const answer::chunk &part);

    answer::response_assembler assembler_;
    const response_format format_;
    std::string line_rest_; /**< Incomplete line of the current attempt. */
    std::string text_;      /**< Text so far of a response that is not streamed. */
    bool started_{false};   /**< The head of the response was sent to the caller. */
    std::string finish_reason_;
    std::uint64_t prompt_tokens_{0};
    std::optional<base::instant> last_token_;
};

} // namespace dotterelstack::entry
