#include "spread/poll_server.hpp"

#include <algorithm>

namespace dotterelstack::spread {

bool poll_server::has_update(const poll &request) const noexcept {
    const auto end = withdrawals_.end();
    const bool withdrawn = request.withdrawals.incarnation == end.incarnation
                               ? request.withdrawals.position < end.position
                               : end.position > 0;
    return (request.full && version_ > request.since) || withdrawn;
}

send_reply poll_server::make_reply(std::uint64_t number, const poll &request, base::instant since) const {
    const auto now = clock_.now();
    return {
        number,
        request.full && version_ > request.since,
        request.since,
        {version_, now - confirmed_, now - since, false, withdrawals_.end(), withdrawals_.since(request.withdrawals)}};
}

std::vector<send_reply> poll_server::on_poll(std::uint64_t number, const poll &request) {
    const bool busy = waiting_.size() >= (request.full ? full_poll_limit : version_poll_limit);
    if (request.wait <= base::duration{0} || has_update(request) || busy) {
        auto out = make_reply(number, request, clock_.now());
        out.body.busy = busy;
        return {std::move(out)};
    }
    waiting_.insert_or_assign(number, held{request, clock_.now(), clock_.now() + std::min(request.wait, max_wait)});
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
        const bool ready = has_update(it.second.request);
        if (ready) {
            out.push_back(make_reply(it.first, it.second.request, it.second.since));
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
            out.push_back(make_reply(it.first, it.second.request, it.second.since));
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
