#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "answer/response_assembler.hpp"
#include "entry/agent_exchange.hpp"
#include "entry/response_format.hpp"

namespace dotterelstack::entry {

/** @brief A completion: tokens are assembled in order, across attempts, and formatted for the caller. */
class completion_exchange final : public agent_exchange {
public:
    /** @param created Seconds since 1970, shown to the caller. */
    completion_exchange(const exchange_context &tools, dispatch::request_identity of, caller_request asked,
                        std::string key_hash, std::int64_t created);

    [[nodiscard]] dispatch::call_event_result on_data(std::string_view part) override;
    [[nodiscard]] dispatch::call_event_result on_end(dispatch::call_end how, const http::response &answer) override;

private:
    void begin_attempt(std::uint32_t attempt) override;
    void on_answer_head(const http::field_list & /*fields*/) override {}
    void add_fields(http::field_list &fields) const override;
    void give_answer() override;
    [[nodiscard]] claim::stored_response answer_to_keep() const override { return {}; }
    [[nodiscard]] std::uint64_t generated_tokens() const noexcept override { return assembly_.next_offset(); }
    [[nodiscard]] std::uint64_t prompt_tokens() const noexcept override { return prompt_tokens_; }
    [[nodiscard]] bool started() const noexcept override { return started_; }

    [[nodiscard]] dispatch::call_event_result take_line(std::string_view line);
    [[nodiscard]] bool deliver(const answer::chunk &part);

    answer::response_assembler assembly_;
    const response_format format_;
    std::string line_rest_; /**< Incomplete line of the current attempt. */
    std::string text_;      /**< Of a response that is not streamed. */
    bool started_{false};   /**< The caller has received the head of the response. */
    std::string finish_reason_;
    std::uint64_t prompt_tokens_{0};
    std::optional<base::instant> last_token_;
};

} // namespace dotterelstack::entry
