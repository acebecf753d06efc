#include "dispatch/engine.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "base/overloaded.hpp"
#include "log/event.hpp"

namespace dotterelstack::dispatch {

namespace internal {

// Checking whether a caller has gone takes a system call. Work for a caller that has gone ends within this time.
constexpr auto caller_check_interval = std::chrono::milliseconds{200};

end_reason to_end_reason(retry::give_up_reason why) noexcept {
    switch (why) {
    case retry::give_up_reason::not_repeatable:
    case retry::give_up_reason::not_resumable:
        return end_reason::outcome_unknown;
    case retry::give_up_reason::organisation_budget:
    case retry::give_up_reason::service_budget:
        return end_reason::retry_budget;
    case retry::give_up_reason::deadline:
        return end_reason::deadline;
    case retry::give_up_reason::none:
    case retry::give_up_reason::sender_retries:
    case retry::give_up_reason::attempts:
        break;
    }
    return end_reason::attempts_exhausted;
}

} // namespace internal

std::string_view to_string(end_reason why) noexcept {
    switch (why) {
    case end_reason::outcome_unknown:
        return "outcome_unknown";
    case end_reason::retry_budget:
        return "retry_budget";
    case end_reason::attempts_exhausted:
        return "attempts_exhausted";
    case end_reason::deadline:
        return "deadline";
    case end_reason::caller_gone:
        break;
    }
    return "caller_gone";
}

exchange *engine::find(exchange_number number) const {
    const auto it = exchanges_.find(number);
    return it == exchanges_.end() ? nullptr : it->second.get();
}

std::vector<exchange_number> engine::numbers() const {
    std::vector<exchange_number> out;
    out.reserve(exchanges_.size());
    for (const auto &[number, it] : exchanges_) {
        out.push_back(number);
    }
    return out;
}

exchange_number engine::add(std::unique_ptr<exchange> request) {
    const auto number = next_number_++;
    exchanges_.emplace(number, std::move(request));
    return number;
}

void engine::start(exchange_number number) {
    auto *it = find(number);
    if (it == nullptr || it->stage_ != exchange_stage::held) {
        return;
    }
    const auto &of = it->identity();
    it->history_ = deps_.retries.begin(of.work, of.organisation, of.service, of.deadline);
    // The request may have waited in the socket of a busy process for longer than its caller did.
    if (of.caller->gone() && it->ends_with_caller()) {
        return end(number, it->refusal_for(end_reason::caller_gone, ran_claim_of(*it)));
    }
    if (must_wait_in_line(*it)) {
        return take(number, *it, it->wait_in_line());
    }
    attempt(number, *it);
}

bool engine::must_wait_in_line(const exchange &it) const {
    const auto line = lines_.find(it.line());
    if (it.line().empty() || line == lines_.end() || !line->second.blocked) {
        return false;
    }
    const auto &first = *line->second.blocked;
    return deps_.time.now() < first.due && first < it.rank();
}

void engine::enter_line(exchange_number number, exchange &it, const wait_for_capacity &wait) {
    auto found = lines_.find(it.line());
    if (found == lines_.end()) {
        found = lines_.emplace(std::string{it.line()}, waiting_line{}).first;
    }
    auto &line = found->second;
    it.waiting_rank_ = it.rank();
    line.requests.emplace(*it.waiting_rank_, number);
    if (wait.blocks_line && (!line.blocked || *it.waiting_rank_ < *line.blocked)) {
        line.blocked = it.waiting_rank_;
    }
}

void engine::leave_line(exchange_number number, exchange &it) {
    if (!it.waiting_rank_) {
        return;
    }
    for (auto &[name, line] : lines_) {
        if (line.requests.erase({*it.waiting_rank_, number}) > 0 && line.blocked == it.waiting_rank_) {
            line.blocked.reset();
        }
    }
    it.waiting_rank_.reset();
}

void engine::erase(exchange_number number) {
    if (auto *it = find(number)) {
        leave_line(number, *it);
        exchanges_.erase(number);
    }
}

void engine::attempt(exchange_number number, exchange &it) {
    take(number, it, it.place());
}

void engine::take(exchange_number number, exchange &it, place_result found) {
    leave_line(number, it);
    if (auto *call = std::get_if<outgoing_call>(&found)) {
        return open_call(number, it, std::move(*call));
    }
    it.stage_ = exchange_stage::waiting;
    if (const auto *wait = std::get_if<wait_for_capacity>(&found)) {
        it.next_step_ = wait->until;
        return enter_line(number, it, *wait);
    }
    end(number, std::move(std::get<refusal>(found)));
}

void engine::open_call(exchange_number number, exchange &it, outgoing_call what) {
    it.stage_ = exchange_stage::calling;
    it.attempt_started_ = deps_.time.now();
    it.call_ = next_call_++;
    calls_.emplace(it.call_, number);
    deps_.calls.send(it.call_, what.address, std::move(what.message), what.timeout);
}

void engine::close_call(exchange &it, attempt_outcome how, bool still_open) {
    const auto call = std::exchange(it.call_, 0);
    calls_.erase(call);
    if (still_open) {
        deps_.calls.cancel(call);
    }
    it.on_attempt_end(how);
}

void engine::end(exchange_number number, refusal why) {
    auto *it = find(number);
    if (it == nullptr) {
        return;
    }
    if (it->stage_ == exchange_stage::inquiring) {
        why.ran = ran_claim::unknown;
    }
    if (it->call_ != 0) {
        // A cancelled attempt may still run.
        if (it->call_may_run()) {
            why.ran = ran_claim::unknown;
        }
        close_call(*it, attempt_outcome::cancelled, true);
    }
    it->refuse(why);
    erase(number);
}

void engine::end_all(const refusal &why) {
    for (const auto number : numbers()) {
        end(number, why);
    }
}

void engine::on_head(call_id call, int status, const http::field_list &fields) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
        const auto number = found->second;
        auto &it = *exchanges_.at(number);
        handle_result(number, it, it.on_head(status, fields), true);
    }
}

void engine::on_data(call_id call, std::string_view part) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
        const auto number = found->second;
        auto &it = *exchanges_.at(number);
        handle_result(number, it, it.on_data(part), true);
    }
}

void engine::on_end(call_id call, call_end how, const http::response &answer) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
        const auto number = found->second;
        auto &it = *exchanges_.at(number);
        handle_result(number, it, it.on_end(how, answer), false);
    }
    place_waiting();
}

void engine::handle_result(exchange_number number, exchange &it, call_event_result result, bool still_open) {
    std::visit(base::overloaded{[](const call_pending & /*result*/) {},
                                [&](const call_failed &failed) {
                                    log::write(
                                        "attempt_failed",
                                        {{"request", it.identity().id},
                                         {"backend", it.backend()},
                                         {"attempt", it.history().attempt()},
                                         {"outcome", to_string(failed.how)},
                                         {"evidence", retry::to_string(failed.seen.kind)},
                                         {"after_ms", base::to_milliseconds(deps_.time.now() - it.attempt_started_)}});
                                    close_call(it, failed.how, still_open);
                                    after_failure(number, it, failed.seen);
                                },
                                [&](const call_complete & /*result*/) {
                                    // A complete answer needs no cancellation, even if the call has not ended.
                                    close_call(it, attempt_outcome::answered, false);
                                    it.stage_ = exchange_stage::answered;
                                    if (it.complete()) {
                                        erase(number);
                                    }
                                },
                                [&](follow_up_call &follow_up) {
                                    // The exchange has already recorded the end of the first call.
                                    calls_.erase(it.call_);
                                    open_call(number, it, std::move(follow_up.next));
                                },
                                [&](const caller_disconnected & /*result*/) {
                                    end(number, it.refusal_for(end_reason::caller_gone, ran_claim::unknown));
                                }},
               result);
}

void engine::after_failure(exchange_number number, exchange &it, const retry::evidence &seen) {
    const auto &work = it.identity().work;
    if (seen.kind == retry::evidence_kind::unknown && !work.repeatable && !work.resumable) {
        if (const auto wait = it.inquire()) {
            it.stage_ = exchange_stage::inquiring;
            it.next_step_ = deps_.time.now() + *wait;
            return;
        }
    }
    retry_or_end(number, it, seen);
}

void engine::on_inquiry(exchange_number number, retry::evidence_kind seen) {
    auto *it = find(number);
    if (it == nullptr || it->stage_ != exchange_stage::inquiring) {
        return;
    }
    if (seen == retry::evidence_kind::unknown) {
        log::write("outcome_unknown",
                   {{"request", it->identity().id}, {"service", it->identity().service}, {"backend", it->backend()}});
    }
    it->stage_ = exchange_stage::delayed;
    retry_or_end(number, *it, {seen});
}

void engine::retry_or_end(exchange_number number, exchange &it, const retry::evidence &seen) {
    const auto &of = it.identity();
    const auto next = deps_.retries.decide(it.history_, seen);
    it.stage_ = exchange_stage::delayed;
    if (next.action == retry::retry_action::give_up) {
        const auto why = internal::to_end_reason(next.reason);
        log::write("request_given_up",
                   {{"request", of.id}, {"service", of.service}, {"attempts", it.history().attempt()}});
        if (why == end_reason::retry_budget) {
            log::write("retry_budget_empty", {{"service", of.service}, {"organisation", of.organisation}});
        }
        return end(number, it.refusal_for(why, ran_claim_of(it)));
    }
    if (of.caller->gone() && it.ends_with_caller()) {
        return end(number, it.refusal_for(end_reason::caller_gone, ran_claim_of(it)));
    }
    deps_.metrics.count("retries_total", "service=\"" + of.service + "\"");
    if (next.action == retry::retry_action::resume_elsewhere) {
        log::write("request_resumed", {{"request", of.id}, {"service", of.service}, {"offset", next.offset}});
    }
    if (next.delay <= base::duration{0}) {
        return attempt(number, it);
    }
    it.next_step_ = deps_.time.now() + next.delay;
}

void engine::check_timeouts(exchange_number number, exchange &it, base::instant now) {
    if (it.stage_ == exchange_stage::answered) {
        return;
    }
    if (it.stage_ == exchange_stage::inquiring) {
        if (now >= it.next_step_) {
            on_inquiry(number, retry::evidence_kind::unknown);
        }
        return;
    }
    if (!it.caller_checked_at_ || now - *it.caller_checked_at_ >= internal::caller_check_interval) {
        it.caller_checked_at_ = now;
        if (it.identity().caller->gone() && it.ends_with_caller()) {
            return end(number, it.refusal_for(end_reason::caller_gone, ran_claim_of(it)));
        }
    }
    if (now >= it.identity().deadline) {
        auto ran = ran_claim_of(it);
        if (it.call_ != 0) {
            ran = it.call_may_run() ? ran_claim::unknown : ran;
            close_call(it, attempt_outcome::silent, true);
        }
        return end(number, it.refusal_for(end_reason::deadline, ran));
    }
    if (it.stage_ == exchange_stage::calling) {
        if (const auto why = it.stalled()) {
            return handle_result(number, it, *why, true);
        }
    }
    if (it.stage_ == exchange_stage::delayed && now >= it.next_step_) {
        attempt(number, it);
    }
}

void engine::tick() {
    const auto now = deps_.time.now();
    for (const auto number : numbers()) {
        if (auto *it = find(number)) {
            check_timeouts(number, *it, now);
        }
    }
    place_waiting();
}

void engine::place_waiting() {
    std::vector<std::string> names;
    names.reserve(lines_.size());
    for (const auto &[name, line] : lines_) {
        if (!line.requests.empty()) {
            names.push_back(name);
        }
    }
    for (const auto &name : names) {
        place_line(name);
    }
}

void engine::place_line(const std::string &name) {
    auto &line = lines_.at(name);
    const std::vector<std::pair<exchange_rank, exchange_number>> waiting{line.requests.begin(), line.requests.end()};
    line.blocked.reset();
    const auto now = deps_.time.now();
    std::set<std::string, std::less<>> full;
    for (const auto &[rank, number] : waiting) {
        auto *it = find(number);
        if (it == nullptr || it->stage_ != exchange_stage::waiting) {
            continue;
        }
        const std::string group{it->wait_group()};
        const bool blocked = line.blocked && !it->line().empty();
        if ((blocked || full.contains(group)) && now < it->next_step_) {
            continue;
        }
        attempt(number, *it);
        const auto *left = find(number);
        if (left != nullptr && left->stage_ == exchange_stage::waiting && !group.empty()) {
            full.insert(group);
        }
    }
}

} // namespace dotterelstack::dispatch
