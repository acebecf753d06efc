#include "entry/peer_port.hpp"

#include <memory>

namespace dotterelstack::entry {

void h2_peer_port::call(std::string_view address, http::request message, peer_answer done) {
    const auto answer = std::make_shared<http::response>();
    transport::h2_handlers handlers;
    handlers.on_head = [answer](int status, const http::field_list &fields) {
        answer->status = status;
        answer->fields = fields;
    };
    handlers.on_data = [answer](std::string_view part) { answer->body.append(part); };
    handlers.on_end = [answer, done = std::move(done), to = std::string{address}](transport::h2_outcome outcome) {
        if (outcome == transport::h2_outcome::complete) {
            done(std::move(*answer));
        } else {
            done(base::fail(base::error_kind::unavailable, "peer_unavailable",
                            "entry " + to + " did not answer; check that it is running"));
        }
    };
    client_.send(address, std::move(message), std::move(handlers));
}

} // namespace dotterelstack::entry
