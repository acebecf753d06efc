#pragma once

#include <thread>

#include "base/ring.hpp"
#include "entry/events.hpp"
#include "entry/ports.hpp"

namespace dotterelstack::entry {

/** @brief `usage_port` that passes records on by a thread of its own. */
class usage_link final : public usage_port {
public:
    /** @param requests Largest number of concurrent requests; the ring is never full with it. */
    usage_link(event_ring &events, std::size_t requests) : events_{events}, ring_{requests} {}
    usage_link(const usage_link &) = delete;
    usage_link &operator=(const usage_link &) = delete;
    usage_link(usage_link &&) = delete;
    usage_link &operator=(usage_link &&) = delete;
    ~usage_link() override { stop(); }

    void start();
    void stop();
    void record(served_usage used) override;

private:
    event_ring &events_;
    base::bounded_ring<served_usage> ring_;
    std::thread thread_;
};

} // namespace dotterelstack::entry
