#include "entry/share_participant.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/interruptible_wait.hpp"
#include "base/json_message.hpp"
#include "log/event.hpp"

namespace dotterelstack::entry {

using nlohmann::json;

namespace internal {

// Interval of confirmation attempts while the epoch is unconfirmed. It is short, so that a new epoch is confirmed soon
// after it was written, as nothing is lent before that.
constexpr auto confirm_retry = std::chrono::milliseconds{100};
constexpr std::string_view demand_path = "/shares/demand";
constexpr std::string_view loan_path = "/shares/loan";

http::response share_answer(int status, const json &body) {
    return {status, {{"content-type", "application/json"}}, body.dump()};
}

limits::row_key key_of(const limits::row_order::owned &row) noexcept {
    return {row.first, row.second};
}

limits::share_amounts amounts_of_row(const config::row &row) {
    limits::row_limits out;
    out.max_concurrency = static_cast<std::uint32_t>(row.concurrency);
    out.requests_per_second = row.requests_per_second;
    out.prompt_tokens_per_second = row.prompt_tokens_per_second;
    out.generated_tokens_per_second = row.generated_tokens_per_second;
    return limits::amounts_of(out);
}

} // namespace internal

share_participant::share_participant(share_participant_options options, dependencies with)
    : options_{std::move(options)}, deps_{std::move(with)}, holder_{deps_.time, options_.incarnation},
      coordinator_{deps_.time}, lender_{deps_.time}, borrower_{deps_.time, options_.incarnation,
                                                               options_.lender_timeout} {}

share_participant::~share_participant() {
    stop();
}

void share_participant::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void share_participant::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

void share_participant::set_config(const config::config_state &state) {
    const std::scoped_lock lock{mutex_};
    const auto &declared = state.values().rows;
    for (auto it = rows_.begin(); it != rows_.end();) {
        const auto &row = it->first;
        if (declared.contains({row.first, row.second})) {
            ++it;
            continue;
        }
        holder_.remove_row(internal::key_of(row));
        coordinator_.remove_row(internal::key_of(row));
        it = rows_.erase(it);
    }
    for (const auto &[name, row] : declared) {
        const auto limit = internal::amounts_of_row(row);
        auto &known = rows_[{row.organisation, row.service}];
        known.applied.reset();
        if (known.limit != limit) {
            known.limit = limit;
            holder_.set_limit({row.organisation, row.service}, limit);
            coordinator_.set_limit({row.organisation, row.service}, limit);
            borrower_.set_limit({row.organisation, row.service}, limit);
        }
    }
    changed_ = true;
}

void share_participant::tick(const load_source &load, const share_sink &apply) {
    const auto now = deps_.time.now();
    const bool due = now >= demands_due_;
    if (!due && now < expiry_ && !changed_) {
        return;
    }
    std::vector<addressed_demand> demands;
    if (due) {
        demands_due_ = now + options_.demand_interval;
        demands = build_demands(load);
    }
    // A demand gives lent amounts back, so the smaller share must be applied before the demand is sent.
    apply_shares(apply);
    offer_loans(load);
    send(demands);
}

void share_participant::grant_times::on_sent(std::uint64_t sequence, base::instant at) {
    sent[sequence] = at;
    std::erase_if(sent, [&](const auto &it) { return it.second + limits::grant_lifetime < at; });
}

void share_participant::grant_times::on_grant(std::uint64_t sequence) {
    if (const auto at = sent.find(sequence); at != sent.end()) {
        expires = at->second + limits::grant_lifetime;
        sent.erase(sent.begin(), std::next(at));
    }
}

std::optional<limits::row_use> share_participant::measure_use(row_state &row, const limits::row_status &status) const {
    const auto now = deps_.time.now();
    const bool idle = status.running == 0 && status.waiting == 0 && status.admitted == row.last_status.admitted;
    const auto before = std::exchange(row.last_status, status);
    const auto since = std::exchange(row.last_status_at, now);
    if (idle && !row.active) {
        return std::nullopt;
    }
    const auto elapsed = since == base::instant{} ? options_.demand_interval : now - since;
    return limits::use_of(before, status, elapsed);
}

std::vector<share_participant::addressed_demand> share_participant::build_demands(const load_source &load) {
    std::vector<addressed_demand> out;
    const std::scoped_lock lock{mutex_};
    update_borrowing();
    if (!epoch_ && !borrower_.active()) {
        return out;
    }
    for (auto &[name, row] : rows_) {
        const auto use = limits::any_nonzero(row.limit) ? measure_use(row, load(internal::key_of(name))) : std::nullopt;
        if (!use) {
            continue;
        }
        row.active = false;
        for (const auto kind : {demand_kind::grant, demand_kind::loan}) {
            if (auto demand = build_demand(kind, name, row, *use)) {
                row.active = row.active || limits::any_nonzero(demand->demand.wanted) ||
                             limits::any_nonzero(demand->demand.in_use);
                out.push_back(std::move(*demand));
            }
        }
    }
    return out;
}

std::optional<share_participant::addressed_demand> share_participant::build_demand(demand_kind kind,
                                                                                   const limits::row_order::owned &name,
                                                                                   row_state &row,
                                                                                   const limits::row_use &use) {
    const auto key = internal::key_of(name);
    const auto before = deps_.time.now();
    const bool loan = kind == demand_kind::loan;
    auto demand = loan     ? borrower_.demand(key, row.limit, use)
                  : epoch_ ? holder_.demand(key, use.wanted, use.in_use)
                           : std::nullopt;
    if (!demand) {
        return std::nullopt;
    }
    times_of(row, kind).on_sent(demand->sequence, before);
    if (loan) {
        return addressed_demand{kind, false, borrower_.lender(), name, *demand};
    }
    const std::string coordinator{limits::coordinator_of(epoch_->epoch, key)};
    const auto location = epoch_->locations.find(coordinator);
    return addressed_demand{kind, coordinator == options_.incarnation,
                            location == epoch_->locations.end() ? "" : location->second.address, name, *demand};
}

share_participant::grant_times &share_participant::times_of(row_state &row, demand_kind kind) noexcept {
    return kind == demand_kind::loan ? row.loans : row.grants;
}

void share_participant::update_borrowing() {
    started_without_store_ = started_without_store_ && !holder_.has_floors();
    if (!started_without_store_) {
        borrower_.stop();
    } else if (borrower_.needs_lender() && borrower_.choose_lender(deps_.peers())) {
        for (auto &[name, row] : rows_) {
            borrower_.set_limit(internal::key_of(name), row.limit);
            row.loans = {};
        }
    }
}

bool share_participant::owns_full_limit() const {
    // The first epoch has no predecessor whose grants could still be in use, and a later epoch cannot grant anything
    // while the confirmation of the first is valid, so its only member need not wait for the settling time.
    return epoch_ && epoch_->epoch.number == 1 && epoch_->epoch.members.size() == 1 &&
           epoch_->epoch.members.front().entry == options_.incarnation && epoch_->epoch.outstanding.empty() &&
           deps_.time.now() < confirmed_until_;
}

limits::share_amounts share_participant::allowance_of(const limits::row_order::owned &key, const row_state &row) {
    const auto name = internal::key_of(key);
    limits::share_amounts out{};
    if (owns_full_limit() || (!epoch_ && epoch_absent_ && deps_.alone())) {
        out = row.limit;
    } else if (epoch_) {
        out = holder_.allowance(name);
    }
    const auto reserved = lender_.reserve(name, holder_.floor(name));
    const auto borrowed = borrower_.allowance(name);
    for (std::size_t n = 0; n < limits::resource_count; ++n) {
        out[n] += borrowed[n];
        out[n] -= std::min(out[n], reserved[n]);
    }
    return out;
}

void share_participant::offer_loans(const load_source &load) {
    const std::scoped_lock lock{mutex_};
    if (lender_.idle()) {
        return;
    }
    for (const auto &[name, row] : rows_) {
        const auto key = internal::key_of(name);
        lender_.offer(key, holder_.floor(key), {load(key).running});
    }
}

void share_participant::apply_shares(const share_sink &apply) {
    std::vector<std::pair<limits::row_order::owned, limits::row_share>> updates;
    {
        const std::scoped_lock lock{mutex_};
        changed_ = false;
        const auto now = deps_.time.now();
        expiry_ = now < confirmed_until_ ? confirmed_until_ : base::instant::max();
        for (auto &[name, row] : rows_) {
            const auto allowance = allowance_of(name, row);
            for (const auto expires : {row.grants.expires, row.loans.expires}) {
                if (now < expires) {
                    expiry_ = std::min(expiry_, expires);
                }
            }
            if (row.applied != allowance) {
                row.applied = allowance;
                updates.emplace_back(name, limits::share_of(row.limit, allowance));
            }
        }
        applied_epoch_ = holder_.epoch();
    }
    for (const auto &[name, share] : updates) {
        apply(internal::key_of(name), share);
    }
}

void share_participant::send(const std::vector<addressed_demand> &demands) {
    std::map<std::pair<std::string, demand_kind>, json> bodies;
    for (const auto &it : demands) {
        if (it.to_self) {
            if (const auto grant = answer(it.kind, it.row, it.demand)) {
                apply_grant(it.kind, 0, it.row, *grant);
            }
        } else if (!it.address.empty()) {
            auto &rows = bodies.try_emplace({it.address, it.kind}, json::array()).first->second;
            rows.push_back(
                {{"organisation", it.row.first}, {"service", it.row.second}, {"demand", to_json(it.demand)}});
        }
    }
    std::uint64_t term = 0;
    {
        const std::scoped_lock lock{mutex_};
        term = borrower_.term();
    }
    for (auto &[to, rows] : bodies) {
        const auto kind = to.second;
        const json body{{"rows", std::move(rows)}};
        http::request message{"POST",
                              std::string{kind == demand_kind::loan ? internal::loan_path : internal::demand_path},
                              {{"content-type", "application/json"}},
                              body.dump()};
        deps_.calls.call(to.first, std::move(message), [this, kind, term](const base::result<http::response> &reply) {
            if (reply && reply.value().status == 200) {
                apply_grants(kind, term, reply.value().body);
            }
        });
    }
}

std::optional<limits::share_grant> share_participant::answer(demand_kind kind, const limits::row_order::owned &row,
                                                             const limits::share_demand &demand) {
    const std::scoped_lock lock{mutex_};
    if (kind == demand_kind::loan) {
        if (!holder_.has_floors()) {
            return std::nullopt;
        }
        // Wakes the dispatcher's thread, which reserves the amounts that the next demand is granted.
        mark_changed();
        return lender_.answer(internal::key_of(row), demand);
    }
    is_coordinator_ = true;
    return coordinator_.answer(internal::key_of(row), demand);
}

void share_participant::apply_grant(demand_kind kind, std::uint64_t term, const limits::row_order::owned &row,
                                    const limits::share_grant &grant) {
    const std::scoped_lock lock{mutex_};
    const auto found = rows_.find(row);
    if (found == rows_.end()) {
        return;
    }
    const auto key = internal::key_of(row);
    const bool applied_grant =
        kind == demand_kind::loan ? borrower_.apply(term, key, grant) : holder_.apply(key, grant);
    if (!applied_grant) {
        return;
    }
    times_of(found->second, kind).on_grant(grant.sequence);
    mark_changed();
}

void share_participant::apply_grants(demand_kind kind, std::uint64_t term, std::string_view body) {
    try {
        const auto value = json::parse(body);
        for (const auto &it : value.at("grants")) {
            apply_grant(kind, term, {it.at("organisation").get<std::string>(), it.at("service").get<std::string>()},
                        parse_grant(it.at("grant")));
        }
    } catch (const json::exception &) {
        // Treated like a missing response: the current grants expire.
        return;
    }
}

http::response share_participant::on_demand(const http::request &message) {
    const auto kind = message.path() == internal::loan_path ? demand_kind::loan : demand_kind::grant;
    auto grants = json::array();
    try {
        const auto value = json::parse(message.body);
        for (const auto &it : value.at("rows")) {
            const limits::row_order::owned row{it.at("organisation").get<std::string>(),
                                               it.at("service").get<std::string>()};
            if (const auto grant = answer(kind, row, parse_demand(it.at("demand")))) {
                grants.push_back({{"organisation", row.first}, {"service", row.second}, {"grant", to_json(*grant)}});
            }
        }
    } catch (const json::exception &) {
        return internal::share_answer(400, {{"grants", json::array()}});
    }
    return internal::share_answer(200, {{"grants", std::move(grants)}});
}

http::response share_participant::on_epoch_query() const {
    std::uint64_t number = 0;
    {
        const std::scoped_lock lock{mutex_};
        number = epoch_ ? epoch_->epoch.number : 0;
    }
    // Checked after reading the number: while the lease is held, no other entry writes a later epoch.
    const auto authority = deps_.authority();
    if (!authority || !(*authority)()) {
        return internal::share_answer(503, {{"holder", false}});
    }
    return internal::share_answer(200, {{"number", number}});
}

void share_participant::adopt(const epoch_object &found) {
    const std::scoped_lock lock{mutex_};
    if (epoch_ && (found.version <= epoch_->version || found.epoch.number < epoch_->epoch.number)) {
        return;
    }
    if (pending_ && found.epoch.number < pending_->epoch.number) {
        return;
    }
    if (epoch_ && found.epoch.number > epoch_->epoch.number && !lender_.idle()) {
        pending_ = found;
        lender_.set_lending_enabled(false);
        return;
    }
    pending_.reset();
    lender_.set_lending_enabled(true);
    if (!epoch_ || found.epoch.number > epoch_->epoch.number) {
        holder_.set_epoch(found.epoch);
        coordinator_.set_epoch(found.epoch);
        confirmed_until_ = {};
        log::write("shares_epoch_adopted", {{"epoch", found.epoch.number}, {"members", found.epoch.members.size()}});
    }
    epoch_ = found;
    mark_changed();
}

void share_participant::adopt_pending() {
    std::optional<epoch_object> found;
    {
        const std::scoped_lock lock{mutex_};
        if (!pending_ || !lender_.idle()) {
            return;
        }
        found = std::exchange(pending_, std::nullopt);
    }
    adopt(*found);
}

void share_participant::mark_changed() {
    changed_ = true;
    // Only wakes the dispatcher's thread, which is awake anyway if the ring is full.
    (void)deps_.events.try_push(shares_changed_event{});
}

void share_participant::read_epoch() {
    const auto found = deps_.store.get(share_epoch_key);
    if (!found) {
        const std::scoped_lock lock{mutex_};
        started_without_store_ = started_without_store_ || (!epoch_ && !epoch_absent_);
        return;
    }
    if (!found.value()) {
        const std::scoped_lock lock{mutex_};
        epoch_absent_ = true;
        started_without_store_ = false;
        return;
    }
    if (const auto parsed = parse_epoch(*found.value())) {
        adopt(parsed.value());
    }
}

void share_participant::confirmed(std::uint64_t number, base::instant asked) {
    const std::scoped_lock lock{mutex_};
    coordinator_.confirm(number, asked);
    if (epoch_ && epoch_->epoch.number == number) {
        if (deps_.time.now() >= confirmed_until_) {
            mark_changed();
        }
        confirmed_until_ = std::max(confirmed_until_, asked + limits::grant_lifetime);
    }
}

bool share_participant::is_confirmed() const {
    const std::scoped_lock lock{mutex_};
    return deps_.time.now() < confirmed_until_;
}

void share_participant::confirm_epoch() {
    std::string confirmer;
    {
        const std::scoped_lock lock{mutex_};
        if (!epoch_ || (!is_coordinator_ && epoch_->epoch.members.size() > 1)) {
            return;
        }
        confirmer = epoch_->confirmer;
    }
    const auto asked = deps_.time.now();
    const auto apply_answer = [this, asked](const http::response &answer) {
        const auto body = answer.status == 200 ? base::parse_message(answer.body) : json{};
        if (body.is_object()) {
            confirmed(base::field_or(body, "number", std::uint64_t{0}), asked);
        }
    };
    if (const auto own = on_epoch_query(); own.status == 200) {
        apply_answer(own);
        return;
    }
    deps_.calls.call(confirmer, {"GET", "/shares/epoch", {}, ""},
                     [apply_answer](const base::result<http::response> &answer) {
                         if (answer) {
                             apply_answer(answer.value());
                         }
                     });
}

void share_participant::run(const std::stop_token &token) {
    base::instant read_due{};
    base::instant confirm_due{};
    while (!token.stop_requested()) {
        const auto now = deps_.time.now();
        if (now >= read_due) {
            read_due = now + options_.epoch_interval;
            read_epoch();
            adopt_pending();
            // Applies floors that have grown with time and a changed host list.
            mark_changed();
        }
        if (now >= confirm_due || !is_confirmed()) {
            confirm_due = now + options_.epoch_interval;
            confirm_epoch();
        }
        base::wait_unless_stopped(token, std::min<base::duration>(options_.epoch_interval, internal::confirm_retry));
    }
}

} // namespace dotterelstack::entry
