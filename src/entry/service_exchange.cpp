#include "entry/service_exchange.hpp"

#include <charconv>

#include "http/status.hpp"

namespace dotterelstack::entry {

namespace internal {

std::uint64_t numeric_field(const http::field_list &fields, std::string_view name) {
    const auto text = http::find_field(fields, name).value_or("0");
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace internal

void service_exchange::begin_attempt(std::uint32_t /*attempt*/) {
    status_ = 0;
    content_type_.clear();
    total_ = 0;
    body_.clear();
}

void service_exchange::on_response_head(const http::field_list &fields) {
    status_ = http::to_status(http::find_field(fields, "ds-status").value_or("")).value_or(0);
    content_type_ = http::find_field(fields, "ds-content-type").value_or("");
    total_ = internal::numeric_field(fields, "ds-total");
}

void service_exchange::add_fields(http::field_list &fields) const {
    fields.push_back({"ds-kind", "call"});
    fields.push_back({"ds-method", request().method});
    fields.push_back({"ds-content-type", request().content_type});
}

dispatch::call_event_result service_exchange::on_data(std::string_view part) {
    body_.append(part);
    return dispatch::call_pending{};
}

dispatch::call_event_result service_exchange::on_end(dispatch::call_end how, const http::response & /*answer*/) {
    const bool received_all = how == dispatch::call_end::complete && !was_refused() &&
                              status_ >= http::first_final_status && body_.size() == total_;
    return received_all ? dispatch::call_event_result{dispatch::call_complete{}} : failure(how);
}

claim::stored_response service_exchange::response_to_store() const {
    return {status_, content_type_, body_, true};
}

void service_exchange::send_response() {
    identity().caller->respond({status_, {{"Content-Type", content_type_}}, body_});
}

} // namespace dotterelstack::entry
