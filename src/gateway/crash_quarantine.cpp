#include "gateway/crash_quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "gateway/prefix_cache_tracker.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Bounds on what is kept; the oldest is dropped.
constexpr std::size_t max_ends = 128;
constexpr std::size_t max_traits_of_end = 512;
constexpr std::size_t max_observations = 64;
constexpr std::size_t max_sound_traits = 20'000;
// Attempts at one server that break off within this time were cut off by the same end; reports of other gateways take a
// few hundred milliseconds.
constexpr auto same_end = std::chrono::seconds{2};
constexpr auto expire_interval = std::chrono::seconds{1};
// Ends after which a request with a trait that was never answered is not repeated.
constexpr std::size_t ends_of_suspect = 2;

log::event held_event(trait_kind kind) {
    return kind == trait_kind::prompt_part ? log::event{"prompt_part_held"} : log::event{"request_held"};
}

/** @return The same for the same traits in every gateway; 0 for one trait. */
std::uint64_t group_of(std::span<const request_trait> traits) {
    return traits.size() < 2 ? 0 : std::ranges::min(traits).id | 1U;
}

log::event released_event(trait_kind kind) {
    return kind == trait_kind::prompt_part ? log::event{"prompt_part_released"} : log::event{"request_released"};
}

} // namespace internal

crash_quarantine::crash_quarantine(const base::clock &time, quarantine_settings settings)
    : time_{time}, settings_{settings} {}

void crash_quarantine::on_broken(std::string_view server, std::string_view address,
                                 std::span<const request_trait> traits) {
    add_end(server, traits);
    observe(observation_kind::ended, std::string{server}, traits, std::string{address});
}

void crash_quarantine::on_progress(std::string_view server, std::span<const request_trait> traits,
                                   base::instant started) {
    // A server that answers an attempt made later has not ended.
    std::erase_if(ends_, [&](const auto &it) { return it.server == server && it.learned_at < started; });
    const auto now = time_.now();
    std::vector<request_trait> cleared;
    for (const auto &it : traits) {
        const auto mark = marked_.find(it);
        const bool counts_against = mark != marked_.end() && mark->second < started;
        if (counts_against || held_.contains(it)) {
            // Other gateways need to know only of traits that they may come to hold.
            if (held_.contains(it) || suspects_.contains(it)) {
                cleared.push_back(it);
            }
            add_sound(it);
        } else if (mark == marked_.end() && it.kind == trait_kind::prompt_part) {
            sound_[it] = now;
        }
        if (it.kind == trait_kind::whole_request) {
            answered_.add(it.id);
        }
    }
    if (!cleared.empty()) {
        observe(observation_kind::sound, "", cleared);
    }
}

void crash_quarantine::on_report(std::string_view gateway, const crash_report &report) {
    auto &last = read_[std::string{gateway}];
    for (const auto &it : report) {
        if (it.number <= last) {
            continue;
        }
        last = it.number;
        switch (it.kind) {
        case observation_kind::ended:
            add_end(it.server, it.traits);
            break;
        case observation_kind::sound:
            std::ranges::for_each(it.traits, [this](const auto &trait) { add_sound(trait); });
            break;
        case observation_kind::held:
            std::ranges::for_each(it.traits, [this, group = internal::group_of(it.traits)](const auto &trait) {
                adopt_hold(trait, group);
            });
            break;
        }
    }
}

void crash_quarantine::on_report_removed(std::string_view gateway) {
    if (const auto it = read_.find(gateway); it != read_.end()) {
        read_.erase(it);
    }
}

std::optional<crash_hold> crash_quarantine::held(std::span<const request_trait> traits) const {
    std::optional<crash_hold> out;
    const auto now = time_.now();
    for (const auto &it : traits) {
        const auto found = held_.find(it);
        if (found == held_.end() || now >= found->second.until) {
            continue;
        }
        if (const auto left = found->second.until - now; !out || left > out->left) {
            out = crash_hold{it.kind, left};
        }
    }
    return out;
}

bool crash_quarantine::makes_trials(std::uint64_t group) const {
    const auto rank_of = [group](std::string_view gateway) { return rendezvous_rank(group, engine_hash(gateway)); };
    const auto own = rank_of(gateways_.own);
    return gateways_.listed &&
           std::ranges::none_of(gateways_.others, [&](const auto &it) { return rank_of(it) > own; });
}

bool crash_quarantine::begin_trial(std::span<const request_trait> traits) {
    const auto now = time_.now();
    std::uint64_t group = 0;
    std::ptrdiff_t n = 0;
    for (const auto &trait : traits) {
        const auto found = held_.find(trait);
        if (found == held_.end() || now >= found->second.until) {
            continue;
        }
        const auto &it = found->second;
        if (it.group == 0 || it.confirmed || (group != 0 && it.group != group)) {
            return false;
        }
        group = it.group;
        ++n;
    }
    const auto members = std::ranges::count_if(held_, [group](const auto &it) { return it.second.group == group; });
    const auto next = next_trials_.find(group);
    const bool due = next == next_trials_.end() || now >= next->second;
    if (n == 0 || n == members || !due || !makes_trials(group)) {
        return false;
    }
    next_trials_[group] = now + settings_.trial_time;
    log::write("crash_trial", {{"held", n}, {"together", members}});
    return true;
}

void crash_quarantine::on_trial_broken(std::span<const request_trait> traits) {
    for (const auto &trait : traits) {
        if (const auto found = held_.find(trait); found != held_.end()) {
            found->second.confirmed = true;
        }
    }
}

bool crash_quarantine::suspected(std::span<const request_trait> traits) const {
    return std::ranges::any_of(traits, [this](const auto &it) {
        const auto found = suspects_.find(it);
        return found != suspects_.end() && !found->second;
    });
}

std::size_t crash_quarantine::held_count(trait_kind kind) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(held_, [kind](const auto &it) { return it.first.kind == kind; }));
}

void crash_quarantine::add_end(std::string_view server, std::span<const request_trait> traits) {
    const auto now = time_.now();
    auto it = std::ranges::find_if(
        ends_, [&](const auto &end) { return end.server == server && now - end.learned_at < internal::same_end; });
    if (it == ends_.end()) {
        if (ends_.size() == internal::max_ends) {
            ends_.pop_front();
        }
        ends_.push_back({std::string{server}, now, {}, {}});
        it = std::prev(ends_.end());
    }
    for (const auto &trait : traits) {
        if (it->traits.size() < internal::max_traits_of_end) {
            it->traits.insert(trait);
            marked_.try_emplace(trait, it->learned_at);
        }
    }
    changed_ = true;
}

void crash_quarantine::add_sound(const request_trait &trait) {
    sound_[trait] = time_.now();
    marked_.erase(trait);
    released_.erase(trait);
    if (held_.erase(trait) > 0) {
        log::write(internal::released_event(trait.kind), {{"id", trait.id}, {"reason", "answered"}});
    }
    changed_ = true;
}

void crash_quarantine::adopt_hold(const request_trait &trait, std::uint64_t group) {
    // A request that comes often may have been at several ends of one cause. Gateways that have seen it answered say so
    // once; after that, further ends count.
    if (trait.kind == trait_kind::whole_request && answered_.contains(trait.id) && !sound_.contains(trait)) {
        add_sound(trait);
        observe(observation_kind::sound, "", std::span{&trait, 1});
        return;
    }
    const hold adopted{time_.now() + settings_.first_hold, settings_.first_hold, group};
    if (held_.try_emplace(trait, adopted).second) {
        log::write(internal::held_event(trait.kind), {{"id", trait.id}, {"origin", "peer"}});
        changed_ = true;
    }
}

void crash_quarantine::observe(observation_kind kind, std::string server, std::span<const request_trait> traits,
                               std::string address) {
    // Traits in one observation of a hold are held together.
    const bool extends = kind != observation_kind::held && !own_.empty() && own_.back().what.number > published_ &&
                         own_.back().what.kind == kind && own_.back().what.server == server;
    if (!extends) {
        if (own_.size() == internal::max_observations) {
            own_.pop_front();
        }
        own_.push_back({time_.now(), {next_number_++, kind, std::move(server), {}, std::move(address)}});
    }
    auto &seen = own_.back().what.traits;
    for (const auto &it : traits) {
        if (std::ranges::find(seen, it) == seen.end()) {
            seen.push_back(it);
        }
    }
    unpublished_ = true;
}

std::optional<crash_report> crash_quarantine::take_report() {
    if (!std::exchange(unpublished_, false)) {
        return std::nullopt;
    }
    crash_report out;
    for (const auto &it : own_) {
        out.push_back(it.what);
    }
    published_ = next_number_ - 1;
    return out;
}

bool crash_quarantine::known(const request_trait &trait) const {
    return sound_.contains(trait) || (trait.kind == trait_kind::whole_request && answered_.contains(trait.id));
}

std::size_t crash_quarantine::weigh(const candidate &of) const {
    std::set<std::string_view> servers;
    std::size_t groups = 0;
    base::instant group_begin{};
    for (const auto *it : of.ends) {
        servers.insert(it->server);
        if (groups == 0 || it->learned_at - group_begin >= settings_.same_cause) {
            ++groups;
            group_begin = it->learned_at;
        }
    }
    // Many requests with one part, or with one often repeated content, may be cut off by one cause at several servers.
    // A new request is at several servers only if it was sent again after each end.
    const bool repeated = of.trait.kind == trait_kind::whole_request && !of.known;
    return repeated ? servers.size() : std::min(groups, servers.size());
}

std::vector<crash_quarantine::candidate> crash_quarantine::candidates() const {
    std::map<request_trait, candidate> found;
    for (const auto &end : ends_) {
        const auto &why = end.explanation;
        if (why && why->kind == trait_kind::prompt_part) {
            continue;
        }
        for (const auto &trait : end.traits) {
            const auto sound = sound_.find(trait);
            if ((why && trait.kind == trait_kind::whole_request) ||
                (sound != sound_.end() && end.learned_at <= sound->second)) {
                continue;
            }
            auto &ends = found[trait].ends;
            // All ends by one request tell no more of its parts than one of them.
            if (!why || std::ranges::find(ends, why, &server_end::explanation) == ends.end()) {
                ends.push_back(&end);
            }
        }
    }
    std::vector<candidate> out;
    out.reserve(found.size());
    for (auto &[trait, it] : found) {
        it.trait = trait;
        it.known = known(trait);
        it.weight = weigh(it);
        out.push_back(std::move(it));
    }
    return out;
}

std::size_t crash_quarantine::needed(const candidate &of) const {
    if (released_.contains(of.trait)) {
        return 1;
    }
    return of.known ? settings_.ends_of_known_trait : settings_.ends_of_new_trait;
}

void crash_quarantine::explain() {
    for (auto &end : ends_) {
        // Parts of prompts come first in the order of traits.
        const auto why = std::ranges::find_if(end.traits, [this](const auto &it) { return held_.contains(it); });
        end.explanation = why == end.traits.end() ? std::nullopt : std::optional{*why};
    }
}

void crash_quarantine::start_hold(const candidate &of, std::uint64_t group) {
    const auto before = released_.find(of.trait);
    const auto length =
        before == released_.end() ? settings_.first_hold : std::min(2 * before->second, settings_.longest_hold);
    held_[of.trait] = {time_.now() + length, length, group};
    log::write(internal::held_event(of.trait.kind),
               {{"id", of.trait.id},
                {"origin", "own"},
                {"servers_ended", of.ends.size()},
                {"weight", of.weight},
                {"answered_before", of.known},
                {"hold_s", std::chrono::duration_cast<std::chrono::seconds>(length).count()}});
}

void crash_quarantine::decide() {
    explain();
    while (true) {
        auto all = candidates();
        std::erase_if(all, [this](const auto &it) { return it.weight < needed(it); });
        // What was never answered first, then the strongest explanation, then the narrower one.
        const auto best = std::ranges::max_element(all, {}, [](const auto &it) {
            return std::tuple{!it.known, it.weight, it.trait.kind};
        });
        if (best == all.end() || time_.now() - best->ends.back()->learned_at < settings_.settle) {
            break;
        }
        const auto same_ends = [&best](const auto &it) {
            return it.ends == best->ends && it.known == best->known && it.trait.kind == best->trait.kind;
        };
        std::vector<candidate> chosen;
        std::ranges::copy_if(all, std::back_inserter(chosen), same_ends);
        request_traits together;
        std::ranges::transform(chosen, std::back_inserter(together), &candidate::trait);
        for (const auto &it : chosen) {
            start_hold(it, internal::group_of(together));
        }
        observe(observation_kind::held, "", together);
        explain();
    }
    suspects_.clear();
    for (const auto &it : candidates()) {
        if (it.weight >= internal::ends_of_suspect) {
            suspects_.emplace(it.trait, it.known);
        }
    }
}

void crash_quarantine::expire() {
    const auto now = time_.now();
    for (const auto &[trait, it] : held_) {
        if (now >= it.until) {
            released_[trait] = it.length;
            // Only ends from now on count against it again.
            std::ranges::for_each(ends_, [&which = trait](auto &end) { end.traits.erase(which); });
            log::write(internal::released_event(trait.kind), {{"id", trait.id}, {"reason", "time"}});
        }
    }
    std::erase_if(held_, [now](const auto &it) { return now >= it.second.until; });
    std::erase_if(next_trials_, [now](const auto &it) { return now >= it.second; });
    const auto oldest = now - settings_.memory;
    std::erase_if(ends_, [&](const auto &it) { return it.learned_at < oldest; });
    std::erase_if(marked_, [&](const auto &it) { return it.second < oldest; });
    unpublished_ = std::erase_if(own_, [&](const auto &it) { return it.observed_at < oldest; }) > 0 || unpublished_;
    if (sound_.size() > internal::max_sound_traits) {
        std::erase_if(sound_, [&](const auto &it) { return it.second < oldest; });
    }
}

void crash_quarantine::tick() {
    const auto now = time_.now();
    if (now >= expire_due_) {
        expire_due_ = now + internal::expire_interval;
        expire();
    }
    if (changed_) {
        decide();
        // A decision that waits for late answers is taken at a later tick.
        changed_ = !ends_.empty() && now - ends_.back().learned_at <= settings_.settle;
    }
}

} // namespace dotterelstack::gateway
