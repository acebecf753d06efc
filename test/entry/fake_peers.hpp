#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "entry/peer_port.hpp"

namespace dotterelstack::test {

/** @brief Peers by address. Calls to an unknown one fail; an unresponsive one never responds. */
class fake_peers final : public entry::peer_port {
public:
    using handler = std::function<http::response(const http::request &)>;

    void call(std::string_view address, http::request message, entry::peer_answer done) override {
        handler found;
        {
            const std::scoped_lock lock{mutex_};
            if (unresponsive_.contains(address)) {
                return;
            }
            if (const auto it = handlers_.find(address); it != handlers_.end()) {
                found = it->second;
            }
        }
        if (found) {
            done(found(message));
        } else {
            done(base::fail(base::error_kind::unavailable, "down", "no such peer"));
        }
    }

    void set(const std::string &address, handler with) {
        const std::scoped_lock lock{mutex_};
        handlers_[address] = std::move(with);
    }

    void remove(const std::string &address) {
        const std::scoped_lock lock{mutex_};
        handlers_.erase(address);
    }

    void set_unresponsive(const std::string &address) {
        const std::scoped_lock lock{mutex_};
        unresponsive_.insert(address);
    }

private:
    std::mutex mutex_;
    std::map<std::string, handler, std::less<>> handlers_;
    std::set<std::string, std::less<>> unresponsive_;
};

} // namespace dotterelstack::test
