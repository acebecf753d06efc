#include "entry/lease_timings.hpp"

#include <algorithm>

namespace dotterelstack::entry {

lease::lease_settings lease_settings_of(const settings::entry_timings &timings, std::string name, std::string holder) {
    lease::lease_settings out{.name = std::move(name), .holder = std::move(holder)};
    out.term = timings.lease_term;
    out.margin = timings.lease_margin;
    // Two renewals may fail before the term ends.
    out.renew_every = timings.lease_term * 3 / 10;
    out.standby_read_every = std::min<base::duration>(out.standby_read_every, timings.lease_term / 2);
    return out;
}

} // namespace dotterelstack::entry
