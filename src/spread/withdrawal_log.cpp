#include "spread/withdrawal_log.hpp"

#include <algorithm>

namespace dotterelstack::spread {

std::vector<std::string> withdrawal_log::add(std::span<const std::string> keys) {
    std::vector<std::string> out;
    for (const auto &it : keys) {
        if (known_.insert(it).second) {
            keys_.push_back(it);
            out.push_back(it);
        }
    }
    while (keys_.size() > capacity_) {
        known_.erase(keys_.front());
        keys_.pop_front();
        ++first_;
    }
    return out;
}

std::vector<std::string> withdrawal_log::since(const cursor &from) const {
    const auto position = from.incarnation == incarnation_ ? from.position : 0;
    const auto skip = position > first_ ? std::min<std::uint64_t>(position - first_, keys_.size()) : 0;
    return {keys_.begin() + static_cast<std::ptrdiff_t>(skip), keys_.end()};
}

} // namespace dotterelstack::spread
