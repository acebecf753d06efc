#include "entry/usage_link.hpp"

namespace dotterelstack::entry {

void usage_link::start() {
    thread_ = std::thread{[this] {
        while (auto it = ring_.pop()) {
            events_.push(usage_held_event{it->request});
        }
    }};
}

void usage_link::stop() {
    ring_.close();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void usage_link::record(served_usage used) {
    ring_.push(std::move(used));
}

} // namespace dotterelstack::entry
