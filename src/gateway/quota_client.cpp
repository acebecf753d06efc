#include "gateway/quota_client.hpp"

#include <algorithm>
#include <utility>

#include "gateway/prefix_cache_tracker.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Shortest time between two reports.
constexpr auto shortest_interval = std::chrono::milliseconds{50};
// Reports without an answer after which the next gateway becomes the bank.
constexpr unsigned int tolerated_misses = 2;
// Interval in which the first gateway in the order is tried while another one is the bank.
constexpr auto probe_interval = std::chrono::seconds{5};
// Any fixed number; all gateways must use the same.
constexpr std::uint64_t order_key = 0x71756f7461;

} // namespace internal

void quota_client::set_group(const gateway_group &all) {
    if (!all.listed) {
        return;
    }
    const std::string present = banks_.empty() ? "" : banks_[bank_].name;
    incarnation_ = all.own;
    name_ = all.own_name;
    ledger_.set_gateways(all.names);
    banks_ = all.named;
    const auto rank = [](const named_gateway &it) {
        return rendezvous_rank(internal::order_key, engine_hash(it.name));
    };
    std::ranges::sort(banks_, std::ranges::greater{}, rank);
    const auto at = std::ranges::find(banks_, present, &named_gateway::name);
    if (at != banks_.end()) {
        bank_ = static_cast<std::size_t>(at - banks_.begin());
    } else if (!banks_.empty()) {
        use(0);
        if (!present.empty()) {
            await_former_bank();
        }
    }
}

void quota_client::use(std::size_t bank) {
    bank_ = bank;
    missed_ = 0;
    probe_due_ = time_.now() + internal::probe_interval;
    log::write("quota_bank_changed", {{"bank", banks_[bank_].name}, {"rank", bank_}});
}

void quota_client::hurry() {
    hurried_ = true;
    tick();
}

void quota_client::tick() {
    if (ledger_.empty() || banks_.empty() || port_ == nullptr || pending_) {
        return;
    }
    const auto now = time_.now();
    if (now < not_before_) {
        return;
    }
    if (now >= due_ || (hurried_ && now >= sent_at_ + internal::shortest_interval && missed_ == 0)) {
        send();
    } else if (bank_ != 0 && now >= probe_due_) {
        probe();
    }
}

void quota_client::send() {
    const auto now = time_.now();
    auto report = ledger_.report();
    report.gateway = name_;
    report.incarnation = incarnation_;
    hurried_ = false;
    is_probe_ = false;
    sent_at_ = now;
    due_ = now + limits::quota_interval;
    pass(report, banks_[bank_].address);
}

void quota_client::pass(const limits::quota_report &report, std::string_view address) {
    pending_ = true;
    const auto call = ++call_;
    if (const auto answer = port_->send(address, call, report)) {
        on_end(call, quota_call_end::answered, answer);
    }
}

void quota_client::await_former_bank() {
    // It may lend this gateway's part to others until then.
    not_before_ = sent_at_ + limits::quota_member_lifetime;
}

void quota_client::probe() {
    probe_due_ = time_.now() + internal::probe_interval;
    is_probe_ = true;
    pass({}, banks_.front().address);
}

void quota_client::on_lost(bool ended) {
    ++missed_;
    if (!ended && missed_ < internal::tolerated_misses) {
        return;
    }
    if (ledger_.in_touch()) {
        log::write("quota_bank_lost",
                   {{"bank", banks_[bank_].name}, {"ended", ended}, {"age_ms", base::to_milliseconds(ledger_.age())}});
    }
    ledger_.on_bank_lost(ended);
    const auto next = (bank_ + 1) % banks_.size();
    use(next);
    // After a round over all gateways, the next one begins with the next interval.
    due_ = next == 0 ? due_ : time_.now();
    hurried_ = false;
}

void quota_client::on_end(std::uint64_t call, quota_call_end how, const std::optional<limits::quota_answer> &answer) {
    if (call != call_ || !std::exchange(pending_, false) || banks_.empty()) {
        return;
    }
    const bool answered = how == quota_call_end::answered && answer;
    if (is_probe_) {
        if (answered) {
            use(0);
            await_former_bank();
        }
        return;
    }
    if (!answered) {
        return on_lost(how == quota_call_end::ended);
    }
    missed_ = 0;
    answered_ = call;
    ledger_.on_answer(*answer);
}

} // namespace dotterelstack::gateway
