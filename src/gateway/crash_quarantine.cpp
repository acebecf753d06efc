#include "gateway/crash_quarantine.hpp"

#include <algorithm>
#include <utility>

#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Bounds on what is kept; the oldest is dropped.
constexpr std::size_t max_ends = 128;
constexpr std::size_t max_parts_of_end = 512;
constexpr std::size_t max_observations = 64;
constexpr std::size_t max_sound_parts = 20'000;
// Attempts at one engine that break off within this time were cut off by the same end; reports of other gateways take a
// few hundred milliseconds.
constexpr auto same_end = std::chrono::seconds{2};
constexpr auto expire_interval = std::chrono::seconds{1};
// Ends after which a request with a part that was never answered is not repeated.
constexpr std::size_t ends_of_suspect = 2;

/** The last part of a prompt belongs to one request or session. */
std::span<const prompt_part> shared(std::span<const prompt_part> prompt) noexcept {
    return prompt.first(prompt.empty() ? 0 : prompt.size() - 1);
}

std::vector<std::uint64_t> ids_of(std::span<const prompt_part> parts) {
    std::vector<std::uint64_t> out(parts.size());
    std::ranges::transform(parts, out.begin(), &prompt_part::id);
    return out;
}

} // namespace internal

crash_quarantine::crash_quarantine(const base::clock &time, quarantine_settings settings)
    : time_{time}, settings_{settings} {}

void crash_quarantine::on_broken(std::string_view server, std::string_view address,
                                 std::span<const prompt_part> prompt) {
    auto parts = internal::ids_of(internal::shared(prompt));
    if (!parts.empty()) {
        add_end(server, parts);
        observe(observation_kind::ended, std::string{server}, parts, std::string{address});
    }
}

void crash_quarantine::on_progress(std::string_view server, std::span<const prompt_part> prompt,
                                   base::instant started) {
    // An engine that answers an attempt made later has not ended.
    std::erase_if(ends_, [&](const auto &it) { return it.server == server && it.learned_at < started; });
    const auto now = time_.now();
    std::vector<part_id> cleared;
    for (const auto &it : internal::shared(prompt)) {
        const auto mark = marked_.find(it.id);
        const bool counts_against = mark != marked_.end() && mark->second < started;
        if (counts_against || held_.contains(it.id)) {
            // Other gateways need to know only of parts that they may come to hold.
            if (held_.contains(it.id) || suspects_.contains(it.id)) {
                cleared.push_back(it.id);
            }
            add_sound(it.id);
        } else if (mark == marked_.end()) {
            sound_[it.id] = now;
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
            add_end(it.server, it.parts);
            break;
        case observation_kind::sound:
            std::ranges::for_each(it.parts, [this](part_id part) { add_sound(part); });
            break;
        case observation_kind::held:
            std::ranges::for_each(it.parts, [this](part_id part) { adopt_hold(part); });
            break;
        }
    }
}

void crash_quarantine::on_report_removed(std::string_view gateway) {
    if (const auto it = read_.find(gateway); it != read_.end()) {
        read_.erase(it);
    }
}

std::optional<base::duration> crash_quarantine::held(std::span<const prompt_part> prompt) const {
    std::optional<base::duration> out;
    const auto now = time_.now();
    for (const auto &it : internal::shared(prompt)) {
        const auto found = held_.find(it.id);
        if (found != held_.end() && now < found->second.until) {
            out = std::max(out.value_or(base::duration{0}), found->second.until - now);
        }
    }
    return out;
}

bool crash_quarantine::suspected(std::span<const prompt_part> prompt) const {
    return std::ranges::any_of(internal::shared(prompt), [this](const auto &it) {
        const auto found = suspects_.find(it.id);
        return found != suspects_.end() && !found->second;
    });
}

void crash_quarantine::add_end(std::string_view server, std::span<const part_id> parts) {
    const auto now = time_.now();
    auto it = std::ranges::find_if(
        ends_, [&](const auto &end) { return end.server == server && now - end.learned_at < internal::same_end; });
    if (it == ends_.end()) {
        if (ends_.size() == internal::max_ends) {
            ends_.pop_front();
        }
        ends_.push_back({std::string{server}, now, {}});
        it = std::prev(ends_.end());
    }
    for (const auto part : parts) {
        if (it->parts.size() < internal::max_parts_of_end) {
            it->parts.insert(part);
            marked_.try_emplace(part, it->learned_at);
        }
    }
    changed_ = true;
}

void crash_quarantine::add_sound(part_id part) {
    sound_[part] = time_.now();
    marked_.erase(part);
    released_.erase(part);
    if (held_.erase(part) > 0) {
        log::write("prompt_part_released", {{"part", part}, {"reason", "answered"}});
    }
    changed_ = true;
}

void crash_quarantine::adopt_hold(part_id part) {
    if (held_.try_emplace(part, hold{time_.now() + settings_.first_hold, settings_.first_hold}).second) {
        log::write("prompt_part_held", {{"part", part}, {"origin", "peer"}});
        changed_ = true;
    }
}

void crash_quarantine::observe(observation_kind kind, std::string server, std::span<const part_id> parts,
                               std::string address) {
    const bool extends = !own_.empty() && own_.back().what.number > published_ && own_.back().what.kind == kind &&
                         own_.back().what.server == server;
    if (!extends) {
        if (own_.size() == internal::max_observations) {
            own_.pop_front();
        }
        own_.push_back({time_.now(), {next_number_++, kind, std::move(server), {}, std::move(address)}});
    }
    auto &known = own_.back().what.parts;
    for (const auto part : parts) {
        if (std::ranges::find(known, part) == known.end()) {
            known.push_back(part);
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

std::size_t crash_quarantine::weigh(std::span<const server_end *const> ends) const {
    // Ends that follow each other closely count once, and so do those of one engine.
    std::set<std::string_view> servers;
    std::size_t groups = 0;
    base::instant group_begin{};
    for (const auto *it : ends) {
        servers.insert(it->server);
        if (groups == 0 || it->learned_at - group_begin >= settings_.same_cause) {
            ++groups;
            group_begin = it->learned_at;
        }
    }
    return std::min(groups, servers.size());
}

std::vector<crash_quarantine::candidate> crash_quarantine::candidates() const {
    std::map<part_id, candidate> found;
    for (const auto &end : ends_) {
        if (end.explained) {
            continue;
        }
        for (const auto part : end.parts) {
            const auto sound = sound_.find(part);
            if (sound == sound_.end() || end.learned_at > sound->second) {
                found[part].ends.push_back(&end);
            }
        }
    }
    std::vector<candidate> out;
    out.reserve(found.size());
    for (auto &[part, it] : found) {
        it.part = part;
        it.weight = weigh(it.ends);
        it.known = sound_.contains(part);
        out.push_back(std::move(it));
    }
    return out;
}

std::size_t crash_quarantine::needed(const candidate &of) const {
    if (released_.contains(of.part)) {
        return 1;
    }
    return of.known ? settings_.ends_of_known_part : settings_.ends_of_new_part;
}

void crash_quarantine::explain() {
    for (auto &end : ends_) {
        end.explained = std::ranges::any_of(end.parts, [this](part_id part) { return held_.contains(part); });
    }
}

void crash_quarantine::start_hold(const candidate &of) {
    const auto before = released_.find(of.part);
    const auto length =
        before == released_.end() ? settings_.first_hold : std::min(2 * before->second, settings_.longest_hold);
    held_[of.part] = {time_.now() + length, length};
    observe(observation_kind::held, "", std::span{&of.part, 1});
    log::write("prompt_part_held", {{"part", of.part},
                                    {"origin", "own"},
                                    {"servers_ended", of.ends.size()},
                                    {"weight", of.weight},
                                    {"answered_before", of.known},
                                    {"hold_s", std::chrono::duration_cast<std::chrono::seconds>(length).count()}});
}

void crash_quarantine::decide() {
    explain();
    while (true) {
        const auto all = candidates();
        // The strongest explanation first; of equal ones, a part that was never answered.
        const auto best = std::ranges::max_element(all, {}, [](const auto &it) {
            return std::pair{it.weight, !it.known};
        });
        if (best == all.end() || best->weight < needed(*best) ||
            time_.now() - best->ends.back()->learned_at < settings_.settle) {
            break;
        }
        for (const auto &it : all) {
            if (it.ends == best->ends && it.known == best->known) {
                start_hold(it);
            }
        }
        explain();
    }
    suspects_.clear();
    for (const auto &it : candidates()) {
        if (it.weight >= internal::ends_of_suspect) {
            suspects_.emplace(it.part, it.known);
        }
    }
}

void crash_quarantine::expire() {
    const auto now = time_.now();
    for (const auto &[part, it] : held_) {
        if (now >= it.until) {
            released_[part] = it.length;
            // Only ends from now on count against it again.
            std::ranges::for_each(ends_, [id = part](auto &end) { end.parts.erase(id); });
            log::write("prompt_part_released", {{"part", part}, {"reason", "time"}});
        }
    }
    std::erase_if(held_, [now](const auto &it) { return now >= it.second.until; });
    const auto oldest = now - settings_.memory;
    std::erase_if(ends_, [&](const auto &it) { return it.learned_at < oldest; });
    std::erase_if(marked_, [&](const auto &it) { return it.second < oldest; });
    unpublished_ = std::erase_if(own_, [&](const auto &it) { return it.observed_at < oldest; }) > 0 || unpublished_;
    if (sound_.size() > internal::max_sound_parts) {
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
