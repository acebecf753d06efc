#include "speed/speed_record.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace dotterelstack::speed {

namespace internal {

// Servers with fewer measurements or a smaller deviation are left out: a tenth is within what measurements vary.
constexpr double min_recorded_samples = 2;
const double min_recorded_log = std::log(1.1);

} // namespace internal

void trim(speed_record &record) {
    std::erase_if(record, [](const auto &it) {
        return it.second.samples < internal::min_recorded_samples ||
               std::abs(it.second.log_time) < internal::min_recorded_log;
    });
    if (record.size() <= max_recorded) {
        return;
    }
    std::vector<double> samples;
    samples.reserve(record.size());
    for (const auto &[server, it] : record) {
        samples.push_back(it.samples);
    }
    std::ranges::nth_element(samples, samples.begin() + max_recorded, std::ranges::greater{});
    std::erase_if(record, [least = samples[max_recorded]](const auto &it) { return it.second.samples <= least; });
}

speed_record pooled(std::span<const speed_record> all) {
    speed_record out;
    for (const auto &record : all) {
        for (const auto &[server, it] : record) {
            auto &sum = out[server];
            sum.log_time += it.log_time * it.samples;
            sum.samples += it.samples;
        }
    }
    for (auto &[server, it] : out) {
        it.log_time = it.samples > 0 ? it.log_time / it.samples : 0;
    }
    return out;
}

} // namespace dotterelstack::speed
