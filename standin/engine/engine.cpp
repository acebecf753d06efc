#include "standin/engine/engine.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>

#include "standin/common/program.hpp"
#include "standin/common/text.hpp"

namespace dotterelstack::standin {

namespace internal {

using namespace std::chrono_literals;

// Length of a scheduler step while requests run, and while there are none.
constexpr auto busy_step = 2ms;
constexpr auto idle_step = 20ms;
// Longest time that one step accounts for, so that an engine that was paused does not catch up in a burst.
constexpr double longest_step_seconds = 0.05;
// Speed of the work for which the role is not meant, relative to the work for which it is.
constexpr double off_role_speed = 0.25;
// A mixed engine runs both kinds of work, each at this speed while both are present.
constexpr double shared_speed = 0.5;
constexpr std::size_t kept_events = 10000;
constexpr std::size_t longest_response = 1000000;

struct speeds {
    double prefill;
    double decode;
};

speeds speeds_of(std::string_view role, bool both) {
    if (role == "prefill") {
        return {1, off_role_speed};
    }
    if (role == "decode") {
        return {off_role_speed, 1};
    }
    return both ? speeds{shared_speed, shared_speed} : speeds{1, 1};
}

} // namespace internal

bool is_role(std::string_view text) noexcept {
    return text == "prefill" || text == "decode" || text == "mixed";
}

engine::engine(engine_options options)
    : options_{std::move(options)}, keys_{options_.refuse_key_text}, cache_{options_.block_tokens},
      scheduler_{[this](const std::stop_token &stop) { run(stop); }} {}

void engine::handle(const http::exchange &call) {
    const auto &message = call.message();
    const auto path = message.path();
    const std::scoped_lock lock{mutex_};
    keys_.inspect(message);
    const bool get = message.method == "GET";
    const bool post = message.method == "POST";
    const auto cancelled = between(path, "/v1/requests/", "/cancel");
    const auto prefix = std::string{between(path, "/v1/cache/", "")};
    if (post && (path == "/v1/completions" || path == "/v1/chat/completions")) {
        complete(call, path == "/v1/chat/completions");
    } else if (post && !cancelled.empty()) {
        call.respond(cancel(cancelled));
    } else if (get && path == "/v1/load") {
        call.respond(load());
    } else if (get && path == "/v1/state") {
        call.respond(state());
    } else if (get && path == "/v1/orders") {
        call.respond(json_response(200, {{"orders", orders_}}));
    } else if (get && path == "/v1/requests") {
        call.respond(requests());
    } else if (post && path == "/v1/orders") {
        call.respond(order(message));
    } else if (get && path == "/v1/cache_events") {
        call.respond(cache_events(message));
    } else if (get && !prefix.empty()) {
        call.respond(export_cache(prefix));
    } else if (message.method == "PUT" && !prefix.empty()) {
        call.respond(import_cache(prefix, message));
    } else {
        call.respond(error_response(404, "not_found", "no such path; see docs/design.md, section 5"));
    }
}

void engine::complete(const http::exchange &call, bool chat) {
    const auto body = json::parse(call.message().body, nullptr, false);
    if (!body.is_object()) {
        call.respond(error_response(400, "bad_body", "send a JSON object"));
        return;
    }
    job it{.call = call};
    try {
        it.model = body.value("model", options_.models.front());
        it.prompt = prompt_of(body);
        const auto first = body.value("resume_from", std::int64_t{0});
        const auto last = body.value("max_tokens", std::int64_t{16});
        if (first < 0 || last < 0) {
            call.respond(error_response(400, "bad_body", "resume_from and max_tokens are at least 0"));
            return;
        }
        it.first = static_cast<std::size_t>(first);
        it.last = static_cast<std::size_t>(last);
        it.priority = body.value("priority", 0.0);
        it.stream = body.value("stream", false);
    } catch (const json::exception &ex) {
        call.respond(error_response(400, "bad_body", ex.what()));
        return;
    }
    if (changing_ && changing_->kind != "load_adapter") {
        auto answer = error_response(503, "changing", "the engine changes its role or model; use another one");
        answer.fields.push_back({"Retry-After", "1"});
        call.respond(answer);
        return;
    }
    if (std::ranges::find(options_.models, it.model) == options_.models.end()) {
        call.respond(error_response(404, "model_not_found", "this engine has not loaded " + it.model));
        return;
    }
    const auto words = words_of(it.prompt);
    it.chat = chat;
    it.prompt_tokens = words.size();
    it.prefixes = cache_.prefixes(it.model, words);
    it.next = it.first;
    it.blocks = (it.prompt_tokens + std::max(it.first, it.last) + options_.block_tokens - 1) / options_.block_tokens;
    it.arrival = ++arrivals_;
    it.id = http::find_field(call.message().fields, "X-Request-Id").value_or("");
    if (it.id.empty()) {
        it.id = "request-" + std::to_string(it.arrival);
    }
    if (it.blocks > options_.blocks || std::max(it.first, it.last) > internal::longest_response) {
        call.respond(error_response(400, "too_long", "prompt and response do not fit into the memory of this engine"));
        return;
    }
    ++requests_[it.id].runs;
    if (it.stream) {
        call.start(200, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", it.id}});
    }
    const auto place = std::ranges::find_if(queued_, [&it](const job &other) { return other.priority < it.priority; });
    queued_.insert(place, std::move(it));
    changed_.notify_all();
}

http::response engine::order(const http::request &message) {
    const auto body = json::parse(message.body, nullptr, false);
    constexpr std::array<std::string_view, 4> kinds{"set_role", "load_model", "load_adapter", "set_version"};
    try {
        const auto id = body.at("order_id").get<std::string>();
        const auto fence = body.at("fence").get<std::uint64_t>();
        const auto kind = body.at("kind").get<std::string>();
        const auto argument = body.at("argument").get<std::string>();
        if (std::ranges::find(kinds, kind) == kinds.end()) {
            return error_response(400, "bad_order", "unknown kind " + kind);
        }
        if (kind == "set_role" && !is_role(argument)) {
            return error_response(400, "bad_order", "a role is prefill, decode or mixed, not " + argument);
        }
        const bool stale = options_.honour_fence && fence < fence_;
        const bool repeated = id == order_id_;
        const bool busy = changing_.has_value() && !repeated;
        const std::string_view outcome = stale ? "stale_fence" : repeated ? "repeated" : busy ? "busy" : "accepted";
        orders_.push_back(
            {{"order_id", id}, {"fence", fence}, {"kind", kind}, {"argument", argument}, {"outcome", outcome}});
        if (stale || busy) {
            return error_response(409, outcome, stale ? "a newer fence was seen" : "another order is carried out");
        }
        fence_ = std::max(fence_, fence);
        if (!repeated) {
            order_id_ = id;
            const bool interrupts = kind != "load_adapter";
            if (interrupts) {
                break_all();
            }
            changing_ = change{std::chrono::steady_clock::now() + options_.role_change, kind, argument};
            changed_.notify_all();
        }
        return json_response(200, {{"order_id", id}, {"outcome", outcome}, {"changing", changing_.has_value()}});
    } catch (const json::exception &ex) {
        return error_response(400, "bad_order", ex.what());
    }
}

http::response engine::cancel(std::string_view id) {
    for (auto *jobs : {&queued_, &running_}) {
        const auto it = std::ranges::find_if(*jobs, [id](const job &other) { return other.id == id; });
        if (it != jobs->end()) {
            finish(*it, "cancelled");
            release(*it);
            jobs->erase(it);
            return json_response(200, {{"outcome", "cancelled"}});
        }
    }
    return json_response(200, {{"outcome", requests_.contains(std::string{id}) ? "finished" : "unknown"}});
}

http::response engine::load() const {
    const auto now = std::chrono::steady_clock::now();
    load_report report{now, 0, 0, 0, options_.blocks};
    for (const auto &it : reports_) {
        if (now - it.when >= options_.load_lag || it.seq == reports_.front().seq) {
            report = it;
        }
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.when).count();
    return json_response(200, {{"seq", report.seq},
                               {"running", report.running},
                               {"queued", report.queued},
                               {"free_blocks", report.free_blocks},
                               {"total_blocks", options_.blocks},
                               {"age_ms", age}});
}

http::response engine::state() const {
    return json_response(200, {{"role", options_.role},
                               {"models", options_.models},
                               {"adapters", adapters_},
                               {"version", version_},
                               {"changing", changing_.has_value()},
                               {"order_id", order_id_},
                               {"fence", fence_},
                               {"key_sightings", keys_.sightings()},
                               {"generated_tokens", generated_},
                               {"prefilled_tokens", prefilled_},
                               {"interrupted", interrupted_},
                               {"running", running_.size()},
                               {"queued", queued_.size()}});
}

http::response engine::requests() const {
    json out = json::object();
    for (const auto &[id, it] : requests_) {
        out[id] = {{"runs", it.runs}, {"tokens", it.tokens}, {"finish_reason", it.finish_reason}};
    }
    return json_response(200, out);
}

http::response engine::cache_events(const http::request &message) const {
    const auto since = std::strtoull(message.query_value("since").value_or("0").c_str(), nullptr, 10);
    const auto now = std::chrono::steady_clock::now();
    json list = json::array();
    auto last = since;
    for (const auto &[when, it] : events_) {
        if (it.seq > since && now - when >= options_.cache_event_lag) {
            list.push_back({{"seq", it.seq},
                            {"kind", it.stored ? "stored" : "evicted"},
                            {"prefix", it.prefix},
                            {"model", it.model},
                            {"tokens", it.tokens}});
            last = it.seq;
        }
    }
    return json_response(200, {{"events", list}, {"seq", last}, {"block_tokens", options_.block_tokens}});
}

http::response engine::export_cache(const std::string &id) const {
    const auto *block = cache_.find(id);
    if (block == nullptr) {
        return error_response(404, "not_cached", "this prefix is not in the cache");
    }
    return json_response(200, {{"prefix", id}, {"model", block->model}, {"tokens", block->tokens}});
}

http::response engine::import_cache(const std::string &id, const http::request &message) {
    const auto body = json::parse(message.body, nullptr, false);
    try {
        cache_.import_block(id, body.at("model").get<std::string>(), body.at("tokens").get<std::size_t>(),
                            options_.blocks - own_blocks());
        return json_response(200, {{"prefix", id}});
    } catch (const json::exception &ex) {
        return error_response(400, "bad_cache", ex.what());
    }
}

void engine::run(const std::stop_token &stop) {
    std::unique_lock lock{mutex_};
    auto last = std::chrono::steady_clock::now();
    while (!stop.stop_requested()) {
        const auto now = std::chrono::steady_clock::now();
        const double seconds = std::chrono::duration<double>(now - last).count();
        last = now;
        step(now, std::min(seconds, internal::longest_step_seconds));
        if (running_.empty() && queued_.empty()) {
            changed_.wait_for(lock, stop, internal::idle_step, [this] { return !queued_.empty(); });
            last = std::chrono::steady_clock::now();
        } else {
            lock.unlock();
            std::this_thread::sleep_for(internal::busy_step);
            lock.lock();
        }
    }
}

void engine::step(time_point now, double seconds) {
    apply_change(now);
    admit();
    const auto prefilling = [](const job &it) { return it.prefill_left > 0; };
    const bool some_prefill = std::ranges::any_of(running_, prefilling);
    const bool all_prefill = std::ranges::all_of(running_, prefilling);
    const auto speed = internal::speeds_of(options_.role, some_prefill && !all_prefill);
    const double tokens = seconds * speed.decode * options_.tokens_per_second;
    for (auto it = running_.begin(); it != running_.end();) {
        const bool done = it->prefill_left <= 0 && generate(*it, tokens);
        if (options_.fail_after_tokens > 0 && !failed_ && generated_ >= options_.fail_after_tokens) {
            failed_ = true;
            break_all();
            break;
        }
        if (done) {
            release(*it);
            it = running_.erase(it);
        } else {
            ++it;
        }
    }
    prefill(seconds * speed.prefill * options_.prefill_tokens_per_second);
    publish(now);
}

void engine::admit() {
    while (!queued_.empty() && running_.size() < options_.batch && reserve(queued_.front())) {
        auto &it = queued_.front();
        // A resumed request has to compute the state of the tokens that it skips, too.
        const auto needed = it.prompt_tokens + it.first;
        const auto cached = it.pinned * options_.block_tokens;
        it.prefill_left = static_cast<double>(std::max<std::size_t>(needed - std::min(cached, needed), 1));
        running_.splice(running_.end(), queued_, queued_.begin());
        cache_.shrink(options_.blocks - own_blocks());
    }
}

bool engine::reserve(job &it) {
    const auto cached = cache_.match(it.prefixes);
    cache_.pin(it.prefixes, cached);
    if (own_blocks() + cache_.pinned() + it.blocks - cached > options_.blocks) {
        cache_.unpin(it.prefixes, cached);
        return false;
    }
    it.pinned = cached;
    it.blocks -= cached;
    return true;
}

void engine::release(const job &it) {
    cache_.unpin(it.prefixes, it.pinned);
}

void engine::keep_prefix(job &it) {
    it.blocks -= it.prefixes.size() - it.pinned;
    cache_.unpin(it.prefixes, it.pinned);
    cache_.store(it.model, it.prefixes);
    it.pinned = it.prefixes.size();
    cache_.pin(it.prefixes, it.pinned);
}

void engine::prefill(double tokens) {
    for (auto &it : running_) {
        if (it.prefill_left > 0 && tokens > 0) {
            const auto done = std::min(tokens, it.prefill_left);
            const auto before = it.prefill_left;
            it.prefill_left -= done;
            tokens -= done;
            prefilled_ += static_cast<std::uint64_t>(std::ceil(before) - std::ceil(it.prefill_left));
            if (it.prefill_left <= 0) {
                keep_prefix(it);
            }
        }
    }
}

bool engine::generate(job &it, double tokens) {
    it.credit += tokens;
    while (it.credit >= 1 && it.next < it.last) {
        it.credit -= 1;
        send_token(it);
        if (options_.fail_after_tokens > 0 && !failed_ && generated_ >= options_.fail_after_tokens) {
            return false;
        }
    }
    if (it.call.caller_gone()) {
        return true;
    }
    if (it.next < it.last) {
        return false;
    }
    finish(it, "length");
    return true;
}

void engine::send_token(job &it) {
    const auto text = token_text(it.prompt, it.next++);
    ++generated_;
    ++requests_[it.id].tokens;
    if (!it.stream) {
        it.text += text;
    } else if (!it.call.write("data: " + event(it, text, nullptr).dump() + "\n\n")) {
        it.next = std::max(it.next, it.last);
    }
}

void engine::finish(job &it, std::string_view reason) {
    auto last = event(it, it.text, reason);
    const auto made = it.next - it.first;
    last["usage"] = {
        {"prompt_tokens", it.prompt_tokens}, {"completion_tokens", made}, {"total_tokens", it.prompt_tokens + made}};
    requests_[it.id].finish_reason = reason;
    if (!it.stream) {
        it.call.respond(json_response(200, last));
        return;
    }
    if (it.call.write("data: " + last.dump() + "\n\ndata: [DONE]\n\n")) {
        it.call.finish();
    }
}

void engine::break_all() {
    for (auto *jobs : {&queued_, &running_}) {
        for (auto &it : *jobs) {
            it.call.abort();
            release(it);
            ++interrupted_;
        }
        jobs->clear();
    }
    cache_.shrink(0);
}

void engine::apply_change(time_point now) {
    if (!changing_ || now < changing_->due) {
        return;
    }
    const auto [due, kind, argument] = *changing_;
    changing_.reset();
    if (kind == "set_role") {
        options_.role = argument;
    } else if (kind == "set_version") {
        version_ = argument;
    } else {
        auto &list = kind == "load_model" ? options_.models : adapters_;
        if (std::ranges::find(list, argument) == list.end()) {
            list.push_back(argument);
        }
    }
}

void engine::publish(time_point now) {
    const bool fresh = reports_.empty() || now - reports_.back().when >= internal::idle_step ||
                       reports_.back().running != running_.size() || reports_.back().queued != queued_.size();
    if (fresh) {
        const auto seq = reports_.empty() ? 1 : reports_.back().seq + 1;
        reports_.push_back({now, seq, running_.size(), queued_.size(), free_blocks()});
    }
    while (reports_.size() > 1 && now - reports_[1].when >= options_.load_lag) {
        reports_.pop_front();
    }
    for (auto &it : cache_.take_events()) {
        if (options_.cache_event_gap == 0 || it.seq % options_.cache_event_gap != 0) {
            events_.emplace_back(now, std::move(it));
        }
    }
    while (events_.size() > internal::kept_events) {
        events_.pop_front();
    }
}

nlohmann::json engine::event(const job &it, std::string_view text, const json &reason) const {
    json choice{{"index", 0}, {"finish_reason", reason}};
    if (!it.chat) {
        choice["text"] = text;
    } else if (it.stream) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    const std::string_view object = !it.chat    ? "text_completion"
                                    : it.stream ? "chat.completion.chunk"
                                                : "chat.completion";
    return {{"id", it.id},
            {"object", object},
            {"created", 0},
            {"model", it.model},
            {"choices", json::array({std::move(choice)})}};
}

std::size_t engine::own_blocks() const {
    std::size_t out = 0;
    for (const auto &it : running_) {
        out += it.blocks;
    }
    return out;
}

std::size_t engine::free_blocks() const {
    return options_.blocks - own_blocks() - cache_.pinned();
}

} // namespace dotterelstack::standin
