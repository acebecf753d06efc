#include "spread/poll_server.hpp"

#include <algorithm>

namespace dotterelstack::spread {

bool poll_server::has_update(const poll &asked) const noexcept {
    const auto end = withdrawals_.end();
    const bool withdrawn =
        asked.withdrawals.incarnation == end.incarnation ? asked.withdrawals.position < end.position : end.position > 0;
    return (asked.full && version_ > asked.since) || withdrawn;
}

send_reply poll_server::make(std::uint64_t number, const poll &asked, base::instant since) const {
    const auto now = clock_.now();
    return {
        number,
        asked.full && version_ > asked.since,
        asked.since,
        {version_, now - confirmed_, now - since, false, withdrawals_.end(), withdrawals_.since(asked.withdrawals)}};
}

std::vector<send_reply> poll_server::on_poll(std::uint64_t number, const poll &asked) {
    const bool busy = waiting_.size() >= (asked.full ? full_poll_limit : version_poll_limit);
    if (asked.wait <= base::duration{0} || has_update(asked) || busy) {
        auto out = make(number, asked, clock_.now());
        out.body.busy = busy;
        return {std::move(out)};
    }
    waiting_.insert_or_assign(number, held{asked, clock_.now(), clock_.now() + std::min(asked.wait, max_wait)});
    return {};
}

void poll_server::on_poll_closed(std::uint64_t number) {
    waiting_.erase(number);
}

std::vector<send_reply> poll_server::on_version(std::uint64_t version, base::instant confirmed) {
    version_ = std::max(version_, version);
    if (version == version_) {
        confirmed_ = std::max(confirmed_, confirmed);
    }
    return answer_ready();
}

std::vector<send_reply> poll_server::answer_ready() {
    std::vector<send_reply> out;
    std::erase_if(waiting_, [&](const auto &it) {
        const bool ready = has_update(it.second.asked);
        if (ready) {
            out.push_back(make(it.first, it.second.asked, it.second.since));
        }
        return ready;
    });
    return out;
}

std::vector<send_reply> poll_server::on_time() {
    std::vector<send_reply> out;
    const auto now = clock_.now();
    std::erase_if(waiting_, [&](const auto &it) {
        const bool due = it.second.until <= now;
        if (due) {
            out.push_back(make(it.first, it.second.asked, it.second.since));
        }
        return due;
    });
    return out;
}

std::optional<base::instant> poll_server::next_wakeup() const {
    std::optional<base::instant> out;
    for (const auto &[number, it] : waiting_) {
        out = out ? std::min(*out, it.until) : it.until;
    }
    return out;
}

} // namespace dotterelstack::spread
