#include "base/descriptors.hpp"

#include <limits>
#include <sys/resource.h>

namespace dotterelstack::base {

void raise_descriptor_limit() noexcept {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < limit.rlim_max) {
        limit.rlim_cur = limit.rlim_max;
        (void)::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

std::size_t descriptor_limit() noexcept {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

} // namespace dotterelstack::base
