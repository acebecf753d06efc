#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http/client.hpp"

namespace dotterelstack::testing {

/** @brief `http::client` that calls handlers in the same thread, with pauses, lost answers and late copies. */
class fake_wire final : public http::client {
public:
    using handler = std::function<http::response(const http::request &)>;

    std::map<std::string, handler, std::less<>> handlers;
    std::function<void()> before_check; /**< A pause of the sender before its last check; runs once. */
    std::function<void()> after_check;  /**< A pause between the last check and the last byte; runs once. */
    std::string lose_answer_of;         /**< Address whose next answer is lost; the request arrives. */
    std::string delay_request_to;       /**< Address whose next request without answer arrives with `deliver_late`. */

    base::result<http::response> call(std::string_view address, const http::request &message,
                                      const http::call_options &options) override {
        return call_checked(address, message, options, [] { return true; });
    }

    base::result<http::response> stream(std::string_view address, const http::request &message,
                                        const http::call_options &options, const http::body_sink &) override {
        return call(address, message, options);
    }

    base::result<http::response> call_checked(std::string_view address, const http::request &message,
                                              const http::call_options &, const http::final_check &check) override {
        const auto it = handlers.find(address);
        if (it == handlers.end()) {
            return base::fail(base::error_kind::unavailable, "not_reached", "no handler");
        }
        const bool order = message.method == "POST";
        if (order) {
            run_once(before_check);
        }
        if (!check()) {
            return base::fail(base::error_kind::refused, "authority_lost", "the check said no");
        }
        if (order) {
            run_once(after_check);
        }
        if (order && delay_request_to == address) {
            delay_request_to.clear();
            late_.push_back({it->second, message});
            return base::fail(base::error_kind::unknown_outcome, "no_answer", "delayed");
        }
        auto answer = it->second(message);
        if (order && lose_answer_of == address) {
            lose_answer_of.clear();
            return base::fail(base::error_kind::unknown_outcome, "no_answer", "lost");
        }
        return answer;
    }

    /** @brief Delivers the delayed requests; their answers go nowhere. */
    void deliver_late() {
        for (const auto &[to, message] : std::exchange(late_, {})) {
            (void)to(message);
        }
    }

private:
    static void run_once(std::function<void()> &hook) {
        if (const auto it = std::exchange(hook, {})) {
            it();
        }
    }

    std::vector<std::pair<handler, http::request>> late_;
};

} // namespace dotterelstack::testing
