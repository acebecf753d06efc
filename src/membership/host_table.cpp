#include "membership/host_table.hpp"

#include <set>

namespace dotterelstack::membership {

host_state host_table::state_of(const host_record &it) const {
    const bool silent = it.refused || liveness_.suspected(it.facts.host);
    if (it.missed_lists >= absences_to_confirm || (it.missed_lists > 0 && silent)) {
        return host_state::gone;
    }
    if (silent) {
        return host_state::suspected;
    }
    return it.facts.leaving || it.announced_leaving ? host_state::leaving : host_state::live;
}

void host_table::report_change(host_record &it, std::vector<host_changed> &out) const {
    if (const auto now = state_of(it); now != it.reported_state) {
        it.reported_state = now;
        out.push_back({it.facts, now});
    }
}

std::vector<host_changed> host_table::on_list(std::span<const listed_host> list) {
    std::vector<host_changed> out;
    std::set<std::string_view> present;
    for (const auto &it : list) {
        present.insert(it.host);
        auto &known = hosts_[it.host];
        if (known.facts.address != it.address) {
            // A new address means a new process: the state of the former one does not apply.
            liveness_.remove(it.host);
            known = {};
        }
        known.facts = it;
        known.missed_lists = 0;
        liveness_.add(it.host);
        report_change(known, out);
    }
    for (auto it = hosts_.begin(); it != hosts_.end();) {
        if (!present.contains(it->first)) {
            ++it->second.missed_lists;
            report_change(it->second, out);
        }
        if (it->second.reported_state == host_state::gone) {
            liveness_.remove(it->first);
            it = hosts_.erase(it);
        } else {
            ++it;
        }
    }
    return out;
}

std::vector<host_changed> host_table::on_heartbeat(std::string_view host, bool leaving) {
    std::vector<host_changed> out;
    if (const auto it = hosts_.find(host); it != hosts_.end()) {
        (void)liveness_.on_heartbeat(host);
        it->second.refused = false;
        it->second.announced_leaving = leaving;
        report_change(it->second, out);
    }
    return out;
}

std::vector<host_changed> host_table::on_refused(std::string_view host) {
    std::vector<host_changed> out;
    if (const auto it = hosts_.find(host); it != hosts_.end()) {
        it->second.refused = true;
        report_change(it->second, out);
    }
    return out;
}

std::vector<host_changed> host_table::on_time() {
    std::vector<host_changed> out;
    for (const auto &host : liveness_.on_time()) {
        if (const auto it = hosts_.find(host); it != hosts_.end()) {
            report_change(it->second, out);
        }
    }
    return out;
}

host_state host_table::state(std::string_view host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? host_state::gone : it->second.reported_state;
}

} // namespace dotterelstack::membership
