#include "gateway/http_quota_port.hpp"

#include <utility>

#include "gateway/quota_codec.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Timeout of a report. Two of them, and the interval between, are shorter than the lifetime of grants.
constexpr auto quota_timeout = std::chrono::milliseconds{300};

} // namespace internal

std::optional<limits::quota_answer> http_quota_port::send(std::string_view address, std::uint64_t call,
                                                          const limits::quota_report &report) {
    if (address == own_address_) {
        return local_(report);
    }
    http::call_options options;
    options.connect_timeout = internal::quota_timeout;
    options.timeout = internal::quota_timeout;
    options.repeatable = true;
    options.fresh_connection = failed_.load();
    http::async_handlers handlers;
    handlers.on_end = [this, call](const base::result<http::response> &answer) {
        quota_answer_event out{call, quota_call_end::silent, std::nullopt};
        if (answer && answer.value().status == 200) {
            out.answer = parse_quota_answer(answer.value().body);
            out.how = quota_call_end::answered;
        } else if (!answer && answer.error().kind == base::error_kind::unavailable &&
                   answer.error().code != "connect_timeout") {
            out.how = quota_call_end::ended;
        }
        failed_ = !answer;
        events_.push(std::move(out));
    };
    client_.send(address, {"POST", std::string{quota_path}, {{"Content-Type", "application/json"}}, to_text(report)},
                 options, std::move(handlers));
    return std::nullopt;
}

} // namespace dotterelstack::gateway
