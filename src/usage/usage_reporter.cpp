#include "usage/usage_reporter.hpp"

#include "store/settled_write.hpp"

namespace dotterelstack::usage {

usage_reporter::usage_reporter(const base::clock &clock, reporter_settings settings, std::uint64_t reported)
    : clock_{clock}, settings_{std::move(settings)}, reported_{reported} {}

void usage_reporter::wait(base::duration time) noexcept {
    due_ = clock_.now() + time;
}

void usage_reporter::advance() noexcept {
    ++reported_;
    sealed_.reset();
    phase_ = phase::mark;
}

reporter_action usage_reporter::next(std::uint64_t fence) {
    if (clock_.now() < due_) {
        return {reporter_step::wait, {}, {}, due_};
    }
    const auto window = reported_ + 1;
    switch (phase_) {
    case phase::mark:
        return {reporter_step::read_mark, reported_key(window), {}, {}};
    case phase::sealed:
        return {reporter_step::read_sealed, sealed_key(window), {}, {}};
    case phase::send:
        return {reporter_step::send,
                {},
                {{"window", window},
                 {"reporter", settings_.reporter},
                 {"fence", fence},
                 {"figures", to_json(sealed_->figures)}},
                {}};
    case phase::write:
        break;
    }
    return {reporter_step::write_mark, reported_key(window), {{"reporter", settings_.reporter}, {"fence", fence}}, {}};
}

void usage_reporter::on_mark(const base::result<std::optional<store::object>> &found) {
    if (!found) {
        wait(settings_.retry_after);
    } else if (found.value()) {
        advance();
    } else {
        phase_ = phase::sealed;
    }
}

void usage_reporter::on_sealed(const base::result<std::optional<store::object>> &found) {
    if (!found) {
        wait(settings_.retry_after);
        return;
    }
    if (!found.value()) {
        // Another lease holder may report the window in the meantime, so the mark is read again.
        phase_ = phase::mark;
        wait(settings_.read_every);
        return;
    }
    auto parsed = parse_sealed(*found.value());
    if (!parsed) {
        wait(settings_.retry_after);
        return;
    }
    sealed_ = std::move(parsed.value());
    phase_ = phase::send;
}

void usage_reporter::on_sent(const base::result<http::response> &answer) {
    if (answer && answer.value().status >= 200 && answer.value().status < 300) {
        phase_ = phase::write;
        return;
    }
    rejections_ += answer ? 1 : 0;
    // The same figures are sent again, unless another lease holder has reported them by then.
    phase_ = phase::mark;
    wait(settings_.retry_after);
}

void usage_reporter::on_mark_written(const base::result<std::uint64_t> &written) {
    if (written || written.error().kind == base::error_kind::conflict) {
        advance();
    } else {
        wait(settings_.retry_after);
    }
}

reporter_action drive_reporter(usage_reporter &reporter, store::object_store &store, base::id_source &ids,
                               http::client &client, std::string_view platform,
                               const std::optional<lease::authority_check> &authority) {
    if (!authority || !(*authority)()) {
        return {};
    }
    auto action = reporter.next(authority->fence());
    const auto limit = reporter.settings().send_timeout;
    switch (action.step) {
    case reporter_step::read_mark:
        reporter.on_mark(store.get(action.key));
        break;
    case reporter_step::read_sealed:
        reporter.on_sealed(store.get(action.key));
        break;
    case reporter_step::send:
        reporter.on_sent(client.call_checked(
            platform, {"POST", "/v1/usage_reports", {{"Content-Type", "application/json"}}, action.value.dump()},
            {limit, limit, base::duration{0}}, *authority));
        break;
    case reporter_step::write_mark:
        reporter.on_mark_written(store::settled_write(store, ids, action.key, action.value, store::absent));
        break;
    case reporter_step::wait:
        break;
    }
    return action;
}

} // namespace dotterelstack::usage
