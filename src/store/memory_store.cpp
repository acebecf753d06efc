#include "store/memory_store.hpp"

#include <algorithm>
#include <iterator>

namespace dotterelstack::store {

namespace internal {

constexpr std::size_t max_value_bytes = std::size_t{1} << 20U;

base::error outage() {
    return {base::error_kind::unavailable, "store_down", "the store is not reachable; retry with backoff"};
}

base::error history_lost() {
    return {base::error_kind::not_found, "history_lost", "the store has no such revision; list, then compare"};
}

base::error lost() {
    return {base::error_kind::unknown_outcome, "no_answer", "the write has no answer; read the object first"};
}

} // namespace internal

void memory_store::set_faults(store_faults faults) {
    const std::scoped_lock lock{mutex_};
    faults_ = faults;
    changed_.notify_all();
}

void memory_store::set_faults_once(store_faults faults, std::size_t count) {
    const std::scoped_lock lock{mutex_};
    once_ = faults;
    once_count_ = count;
}

void memory_store::take_copy() {
    const std::scoped_lock lock{mutex_};
    copied_slots_ = slots_;
    copied_revision_ = revision_;
}

void memory_store::restore_copy() {
    const std::scoped_lock lock{mutex_};
    slots_ = copied_slots_;
    revision_ = copied_revision_;
    std::erase_if(history_, [this](const watch_event &it) { return it.item.version > revision_; });
    ++era_;
    changed_.notify_all();
}

std::uint64_t memory_store::era() const {
    const std::scoped_lock lock{mutex_};
    return era_;
}

void memory_store::keep_history(std::size_t changes) {
    const std::scoped_lock lock{mutex_};
    most_changes_ = changes;
    forgotten_ = revision_;
}

void memory_store::set_write_hook(write_hook hook) {
    const std::scoped_lock lock{mutex_};
    hook_ = std::move(hook);
}

store_counters memory_store::counters() const {
    const std::scoped_lock lock{mutex_};
    return counters_;
}

std::uint64_t memory_store::revision() const {
    const std::scoped_lock lock{mutex_};
    return revision_;
}

base::result<std::optional<object>> memory_store::get(std::string_view key) {
    const std::scoped_lock lock{mutex_};
    ++counters_.reads;
    if (faults_.outage) {
        return boost::outcome_v2::failure(internal::outage());
    }
    const auto it = slots_.find(key);
    if (it == slots_.end()) {
        return std::optional<object>{};
    }
    if (faults_.stale_reads) {
        return it->second.previous;
    }
    return it->second.deleted ? std::optional<object>{} : std::optional{it->second.item};
}

store_faults memory_store::take_write_faults() {
    if (once_count_ == 0) {
        return faults_;
    }
    --once_count_;
    return once_;
}

base::result<std::uint64_t> memory_store::change(std::string_view key, std::optional<std::string_view> value,
                                                 std::uint64_t expected) {
    write_hook hook;
    {
        const std::scoped_lock lock{mutex_};
        hook = hook_;
    }
    if (hook) {
        hook(key);
    }
    const std::scoped_lock lock{mutex_};
    ++counters_.writes;
    const auto faults = take_write_faults();
    if (faults.outage) {
        return boost::outcome_v2::failure(internal::outage());
    }
    if (faults.lose_requests) {
        return boost::outcome_v2::failure(internal::lost());
    }
    auto it = slots_.find(key);
    const bool present = it != slots_.end() && !it->second.deleted;
    const std::uint64_t current = present ? it->second.item.version : absent;
    if (current != expected || (!value && !present)) {
        ++counters_.conflicts;
        if (faults.lose_answers) {
            return boost::outcome_v2::failure(internal::lost());
        }
        return base::fail(base::error_kind::conflict, "version_changed",
                          std::string{key} + " has another version; read it again, then decide");
    }
    if (it == slots_.end()) {
        it = slots_.emplace(std::string{key}, slot{}).first;
    }
    it->second.previous = present ? std::optional{it->second.item} : std::nullopt;
    it->second.item = {std::string{key}, ++revision_, std::string{value.value_or("")}};
    it->second.deleted = !value;
    if (most_changes_ > 0) {
        history_.push_back({it->second.item, !value});
        if (history_.size() > most_changes_) {
            forgotten_ = history_.front().item.version;
            history_.pop_front();
        }
    }
    changed_.notify_all();
    if (faults.lose_answers) {
        return boost::outcome_v2::failure(internal::lost());
    }
    return revision_;
}

base::result<std::uint64_t> memory_store::put(std::string_view key, std::string_view value, std::uint64_t expected) {
    if (value.size() > internal::max_value_bytes) {
        return base::fail(base::error_kind::invalid_argument, "value_too_large",
                          std::string{key} + " exceeds one megabyte; split the value");
    }
    return change(key, value, expected);
}

base::result<void> memory_store::erase(std::string_view key, std::uint64_t expected) {
    BOOST_OUTCOME_TRY(revision, change(key, std::nullopt, expected));
    (void)revision;
    return base::success();
}

base::result<std::vector<object>> memory_store::list(std::string_view prefix) {
    const std::scoped_lock lock{mutex_};
    ++counters_.reads;
    if (faults_.outage) {
        return boost::outcome_v2::failure(internal::outage());
    }
    std::vector<object> out;
    for (auto it = slots_.lower_bound(prefix); it != slots_.end() && it->first.starts_with(prefix); ++it) {
        if (!it->second.deleted) {
            out.push_back(it->second.item);
        }
    }
    return out;
}

watch_batch memory_store::changes(std::string_view prefix, std::uint64_t since) const {
    watch_batch out;
    out.revision = revision_;
    if (most_changes_ > 0 && since > 0) {
        std::ranges::copy_if(history_, std::back_inserter(out.events), [&](const watch_event &it) {
            return it.item.version > since && it.item.key.starts_with(prefix);
        });
        return out;
    }
    for (auto it = slots_.lower_bound(prefix); it != slots_.end() && it->first.starts_with(prefix); ++it) {
        const auto &found = it->second;
        if (found.item.version > since && !(since == 0 && found.deleted)) {
            out.events.push_back({found.item, found.deleted});
        }
    }
    std::ranges::sort(out.events, {}, [](const watch_event &event) { return event.item.version; });
    return out;
}

base::result<watch_batch> memory_store::watch(std::string_view prefix, std::uint64_t since,
                                              const watch_limits &limits) {
    std::unique_lock lock{mutex_};
    ++counters_.reads;
    if (since > revision_ || (most_changes_ > 0 && since > 0 && since < forgotten_)) {
        return boost::outcome_v2::failure(internal::history_lost());
    }
    watch_batch out;
    const auto begun_in = era_;
    changed_.wait_for(lock, limits.wait, [&] {
        out = changes(prefix, since);
        return faults_.outage || era_ != begun_in || !out.events.empty();
    });
    if (faults_.outage || era_ != begun_in) {
        return boost::outcome_v2::failure(internal::outage());
    }
    return out;
}

} // namespace dotterelstack::store
