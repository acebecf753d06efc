#pragma once

#include <map>
#include <mutex>

#include "entry/events.hpp"
#include "entry/ports.hpp"
#include "transport/h2_client.hpp"

namespace dotterelstack::entry {

/** @brief `agent_port` over HTTP/2; results are pushed into the event ring. */
class h2_agent_port final : public agent_port {
public:
    h2_agent_port(transport::h2_client &client, event_ring &events) : client_{client}, events_{events} {}

    void run(call_id call, std::string_view address, http::request message) override;
    void reset(call_id call) override;
    void cancel(std::string_view address, std::string_view request, std::string_view incarnation) override;

private:
    transport::h2_client &client_;
    event_ring &events_;
    std::mutex mutex_;
    std::map<call_id, std::uint64_t> in_flight_;
};

} // namespace dotterelstack::entry
