#include "limits/admission.hpp"

#include <algorithm>
#include <cmath>

namespace dotterelstack::limits {

namespace {

/** @brief Smoothing factor of the exponential moving averages. */
constexpr double sample_weight = 0.125;
/** @brief Smallest effective weight; a row of weight 0 would never be served. */
constexpr double min_weight = 1e-3;
/** @brief Interval at which the waiting requests of a row are checked against their deadlines. */
constexpr base::duration deadline_check_interval = std::chrono::milliseconds{250};
constexpr base::duration min_retry_after = std::chrono::milliseconds{1};

void update_mean(double &mean, double sample) noexcept {
    mean = mean == 0.0 ? sample : mean + sample_weight * (sample - mean);
}

void configure_bucket(token_bucket &bucket, double declared, const std::optional<double> &share,
                      base::instant now) noexcept {
    if (share) {
        bucket.limit(declared > 0 ? std::min(declared, *share) : *share, now);
    } else if (declared > 0) {
        bucket.limit(declared, now);
    } else {
        bucket.remove_limit();
    }
}

} // namespace

void admission::backlog::add(const request_state &it) noexcept {
    requests += 1;
    prompt += it.prompt;
    generated += it.generated;
}

void admission::backlog::remove(const request_state &it) noexcept {
    requests -= 1;
    prompt -= it.prompt;
    generated -= it.generated;
}

admission::admission(const base::clock &clock) : clock_{clock}, now_{clock.now()} {}

std::optional<admission::row_id> admission::find_row(row_key key) const {
    const auto service = service_ids_.find(key.service);
    if (service == service_ids_.end()) {
        return std::nullopt;
    }
    const auto &rows = services_[service->second].rows;
    const auto it = rows.find(key.organisation);
    return it == rows.end() ? std::nullopt : std::optional{it->second};
}

admission::service_id admission::intern_service(std::string_view service) {
    if (const auto it = service_ids_.find(service); it != service_ids_.end()) {
        return it->second;
    }
    const auto id = static_cast<service_id>(services_.size());
    services_.emplace_back();
    service_ids_.emplace(service, id);
    return id;
}

void admission::apply_limits(row_state &row) {
    configure_bucket(row.requests, row.limits.requests_per_second, row.share.requests_per_second, now_);
    configure_bucket(row.prompt, row.limits.prompt_tokens_per_second, row.share.prompt_tokens_per_second, now_);
    configure_bucket(row.generated, row.limits.generated_tokens_per_second, row.share.generated_tokens_per_second,
                     now_);
    row.concurrency = row.share.max_concurrency;
    if (row.limits.max_concurrency > 0) {
        row.concurrency = std::min(row.limits.max_concurrency, row.concurrency.value_or(row.limits.max_concurrency));
    }
}

void admission::set_row(row_key key, const row_limits &limits) {
    now_ = clock_.now();
    const auto service = intern_service(key.service);
    auto id = find_row(key);
    if (!id) {
        if (free_rows_.empty()) {
            id = static_cast<row_id>(rows_.size());
            rows_.emplace_back();
        } else {
            id = free_rows_.back();
            free_rows_.pop_back();
            rows_[*id] = row_state{};
        }
        rows_[*id].organisation = key.organisation;
        rows_[*id].service = service;
        services_[service].rows.emplace(key.organisation, *id);
    }
    auto &row = rows_[*id];
    if (row.waiting > 0) {
        services_[service].waiting_weight += std::max(limits.weight, min_weight) - row.limits.weight;
    }
    row.limits = limits;
    row.limits.weight = std::max(limits.weight, min_weight);
    apply_limits(row);
    refuse_unmeetable_requests(*id);
    update_row_schedule(*id);
}

void admission::remove_row(row_key key) {
    now_ = clock_.now();
    const auto id = find_row(key);
    if (!id) {
        return;
    }
    auto &row = rows_[*id];
    while (!row.lanes.empty()) {
        refuse_waiting(*row.lanes.begin()->second.waiting.begin()->second, refusal::unknown_row, {});
    }
    update_row_schedule(*id);
    auto &rows = services_[row.service].rows;
    rows.erase(rows.find(key.organisation));
    row.removed = true;
    if (row.running == 0) {
        free_rows_.push_back(*id);
    }
}

void admission::set_share(row_key key, const row_share &share) {
    now_ = clock_.now();
    if (const auto id = find_row(key)) {
        rows_[*id].share = share;
        apply_limits(rows_[*id]);
        refuse_unmeetable_requests(*id);
        update_row_schedule(*id);
    }
}

void admission::set_capacity(std::string_view service, std::uint32_t slots) {
    services_[intern_service(service)].slots = slots;
}

void admission::charge(row_id id, double prompt, double generated) {
    auto &row = rows_[id];
    auto &service = services_[row.service];
    row.prompt.take(prompt, now_);
    row.generated.take(generated, now_);
    row.charged_prompt += prompt;
    row.charged_generated += generated;
    const double virtual_time = row.virtual_time + (prompt + generated) / row.limits.weight;
    if (row.ready) {
        service.ready.erase({row.virtual_time, id});
        service.ready.emplace(virtual_time, id);
    }
    row.virtual_time = virtual_time;
}

void admission::start(row_id id, request_state &it) {
    auto &row = rows_[id];
    auto &service = services_[row.service];
    row.virtual_time = std::max(row.virtual_time, row.ready ? row.virtual_time : service.virtual_time);
    service.virtual_time = std::max(service.virtual_time, row.virtual_time);
    it.running = true;
    it.started = now_;
    ++row.running;
    ++row.admitted;
    ++service.running;
    row.requests.take(1, now_);
    charge(id, it.prompt, it.generated);
}

void admission::enqueue(row_id id, request_state &it) {
    auto &row = rows_[id];
    auto &service = services_[row.service];
    if (row.waiting == 0) {
        service.waiting_weight += row.limits.weight;
    }
    ++row.waiting;
    ++service.waiting;
    auto &to = row.lanes[it.priority];
    to.waiting.emplace(it.sequence, &it);
    to.total.add(it);
    if (it.deadline != base::instant::max()) {
        deadlines_.emplace(std::pair{it.deadline, it.sequence}, &it);
    }
}

void admission::dequeue(request_state &it) {
    auto &row = rows_[it.row];
    auto &service = services_[row.service];
    const auto from = row.lanes.find(it.priority);
    from->second.waiting.erase(it.sequence);
    from->second.total.remove(it);
    if (from->second.waiting.empty()) {
        row.lanes.erase(from);
    }
    --row.waiting;
    --service.waiting;
    if (row.waiting == 0) {
        service.waiting_weight -= row.limits.weight;
    }
    if (service.waiting == 0) {
        service.waiting_weight = 0; // Discards accumulated rounding errors.
    }
    deadlines_.erase({it.deadline, it.sequence});
}

void admission::refuse_waiting(request_state &it, refusal reason, base::duration retry_after) {
    dequeue(it);
    const auto found = requests_.find(*it.id);
    decisions_.push_back({found->first, verdict::refused, reason, std::max(retry_after, min_retry_after)});
    requests_.erase(found);
}

void admission::set_ready(row_id id, bool ready) {
    auto &row = rows_[id];
    if (row.ready == ready) {
        return;
    }
    auto &service = services_[row.service];
    if (ready) {
        // A row that was idle or blocked by its own limits earns no credit for that time.
        row.virtual_time = std::max(row.virtual_time, service.virtual_time);
        service.ready.emplace(row.virtual_time, id);
    } else {
        service.ready.erase({row.virtual_time, id});
    }
    row.ready = ready;
}

void admission::set_timer(row_id id, base::instant at) {
    auto &row = rows_[id];
    if (row.timer == at) {
        return;
    }
    if (row.timer != base::instant::max()) {
        timers_.erase({row.timer, id});
    }
    row.timer = at;
    if (at != base::instant::max()) {
        timers_.emplace(at, id);
    }
}

void admission::update_row_schedule(row_id id) {
    auto &row = rows_[id];
    while (row.waiting > 0) {
        auto &head = *row.lanes.begin()->second.waiting.begin()->second;
        const auto blocker = blocked_now(row, head);
        if (blocker.certain && blocker.reason != refusal::none && now_ + blocker.wait >= head.deadline) {
            refuse_waiting(head, blocker.reason, blocker.wait);
            continue;
        }
        set_ready(id, blocker.reason == refusal::none);
        const bool wakes = blocker.certain && blocker.reason != refusal::none;
        const auto next_check =
            row.timer > now_ ? std::min(row.timer, now_ + deadline_check_interval) : now_ + deadline_check_interval;
        set_timer(id, wakes ? std::min(next_check, now_ + blocker.wait) : next_check);
        return;
    }
    set_ready(id, false);
    set_timer(id, base::instant::max());
}

void admission::refuse_unmeetable_requests(row_id id) {
    auto &row = rows_[id];
    backlog ahead;
    struct late_request {
        request_state *it;
        refusal reason;
        base::duration retry;
    };
    std::vector<late_request> unmeetable;
    for (const auto &[priority, level] : row.lanes) {
        for (const auto &[sequence, it] : level.waiting) {
            if (it->deadline != base::instant::max()) {
                const auto expected = expected_wait(row, *it, ahead, slot_wait::excluded);
                if (expected.certain && now_ + expected.wait >= it->deadline) {
                    unmeetable.push_back({it, expected.reason, retry_after(row, *it, ahead)});
                    continue;
                }
            }
            ahead.add(*it);
        }
    }
    for (const auto &[it, reason, retry] : unmeetable) {
        refuse_waiting(*it, reason, retry);
    }
}

decision admission::submit(const submission &item) {
    now_ = clock_.now();
    decision answer{std::string{item.request}, verdict::refused, refusal::none, {}};
    const auto id = find_row(item.row);
    if (!id) {
        answer.reason = refusal::unknown_row;
        return answer;
    }
    if (item.deadline <= now_) {
        answer.reason = refusal::deadline;
        return answer;
    }
    auto [found, inserted] = requests_.try_emplace(answer.request);
    if (!inserted) {
        answer.reason = refusal::duplicate;
        return answer;
    }
    auto &row = rows_[*id];
    auto &service = services_[row.service];
    auto &it = found->second;
    it.row = *id;
    it.sequence = next_sequence_++;
    it.priority = item.priority;
    it.deadline = item.deadline;
    it.prompt = static_cast<double>(item.prompt_tokens);
    it.max_generated = static_cast<double>(item.max_generated_tokens);
    it.generated = expected_generated(row, it.max_generated);
    it.id = &found->first;

    if (row.waiting == 0 && service.ready.empty() && service.running < service.slots &&
        blocked_now(row, it).reason == refusal::none) {
        start(*id, it);
        answer.outcome = verdict::admitted;
        return answer;
    }
    backlog ahead;
    for (const auto &[priority, level] : row.lanes) {
        if (priority < item.priority) {
            break;
        }
        ahead.requests += level.total.requests;
        ahead.prompt += level.total.prompt;
        ahead.generated += level.total.generated;
    }
    const auto expected = expected_wait(row, it, ahead, slot_wait::excluded);
    const bool full = row.waiting >= row.limits.max_queue;
    if (full || (expected.certain && now_ + expected.wait >= item.deadline)) {
        const bool by_queue = full && row.limits.max_queue > 0;
        const auto blocker = expected_wait(row, it, ahead, slot_wait::included).reason;
        answer.reason = by_queue ? refusal::queue_full : blocker == refusal::none ? refusal::capacity : blocker;
        answer.retry_after = retry_after(row, it, ahead);
        requests_.erase(found);
        return answer;
    }
    enqueue(*id, it);
    update_row_schedule(*id);
    answer.outcome = verdict::queued;
    return answer;
}

void admission::dispatch(service_id id) {
    auto &service = services_[id];
    while (service.running < service.slots && !service.ready.empty()) {
        const auto row = service.ready.begin()->second;
        auto &it = *rows_[row].lanes.begin()->second.waiting.begin()->second;
        // The levels of the token buckets may have changed since the row was marked ready.
        if (blocked_now(rows_[row], it).reason != refusal::none) {
            update_row_schedule(row);
            continue;
        }
        dequeue(it);
        start(row, it);
        decisions_.push_back({*it.id, verdict::admitted, refusal::none, {}});
        update_row_schedule(row);
    }
}

std::vector<decision> admission::poll() {
    now_ = clock_.now();
    while (!deadlines_.empty() && deadlines_.begin()->first.first <= now_) {
        auto &it = *deadlines_.begin()->second;
        const auto id = it.row;
        const auto expected = expected_wait(rows_[id], it, {}, slot_wait::included);
        refuse_waiting(it, expected.reason == refusal::none ? refusal::capacity : expected.reason,
                       retry_after(rows_[id], it, {}));
        update_row_schedule(id);
    }
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        const auto id = timers_.begin()->second;
        refuse_unmeetable_requests(id);
        update_row_schedule(id);
    }
    for (service_id id = 0; id < services_.size(); ++id) {
        dispatch(id);
    }
    return std::exchange(decisions_, {});
}

std::optional<base::instant> admission::next_wakeup() const noexcept {
    if (!decisions_.empty()) {
        return now_;
    }
    auto at = base::instant::max();
    if (!timers_.empty()) {
        at = timers_.begin()->first;
    }
    if (!deadlines_.empty()) {
        at = std::min(at, deadlines_.begin()->first.first);
    }
    return at == base::instant::max() ? std::nullopt : std::optional{at};
}

void admission::add_served_tokens(std::string_view request, std::uint64_t prompt, std::uint64_t generated) {
    const auto found = requests_.find(request);
    if (found == requests_.end() || !found->second.running) {
        return;
    }
    now_ = clock_.now();
    auto &it = found->second;
    it.served_prompt += static_cast<double>(prompt);
    it.served_generated += static_cast<double>(generated);
    const double more_prompt = std::max(0.0, it.served_prompt - it.prompt);
    const double more_generated = std::max(0.0, it.served_generated - it.generated);
    if (more_prompt + more_generated > 0) {
        it.prompt += more_prompt;
        it.generated += more_generated;
        charge(it.row, more_prompt, more_generated);
    }
}

void admission::release(request_map::iterator found) {
    auto &it = found->second;
    const auto id = it.row;
    auto &row = rows_[id];
    auto &service = services_[row.service];
    charge(id, it.served_prompt - it.prompt, it.served_generated - it.generated);
    --row.running;
    --service.running;
    requests_.erase(found);
    if (row.removed) {
        if (row.running == 0) {
            free_rows_.push_back(id);
        }
    } else {
        update_row_schedule(id);
    }
}

bool admission::finish(std::string_view request) {
    const auto found = requests_.find(request);
    if (found == requests_.end() || !found->second.running) {
        return false;
    }
    now_ = clock_.now();
    const auto &it = found->second;
    auto &row = rows_[it.row];
    auto &service = services_[row.service];
    update_mean(service.mean_run, std::chrono::duration<double>(now_ - it.started).count());
    update_mean(service.mean_cost, it.served_prompt + it.served_generated);
    update_mean(row.mean_generated, it.served_generated);
    release(found);
    return true;
}

bool admission::cancel(std::string_view request) {
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        return false;
    }
    now_ = clock_.now();
    if (found->second.running) {
        release(found);
    } else {
        const auto id = found->second.row;
        dequeue(found->second);
        requests_.erase(found);
        update_row_schedule(id);
    }
    return true;
}

row_status admission::status(row_key key) const {
    row_status answer;
    if (const auto id = find_row(key)) {
        const auto &row = rows_[*id];
        answer = {row.running, row.waiting, 0, 0, row.admitted, row.charged_prompt, row.charged_generated};
        for (const auto &[priority, level] : row.lanes) {
            answer.waiting_prompt_tokens += level.total.prompt;
            answer.waiting_generated_tokens += level.total.generated;
        }
    }
    return answer;
}

} // namespace dotterelstack::limits
