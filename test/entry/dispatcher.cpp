#include "entry/dispatcher.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "answer/chunk.hpp"
#include "config/sample.hpp"
#include "support/fake_caller.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using entry::call_end;
using nlohmann::json;

namespace {

/** Caller that parses the responses of an entry. */
struct fake_caller final : test::fake_caller {
    [[nodiscard]] std::string ran() const {
        const auto it = answers.empty() ? json{} : json::parse(answers.back().body, nullptr, false);
        return it.is_object() && it.contains("error") ? it["error"].value("ran", "") : "";
    }
    [[nodiscard]] std::string text() const {
        std::string out;
        for (std::size_t at = 0; (at = stream.find("\"text\":\"", at)) != std::string::npos;) {
            at += 8;
            out += stream.substr(at, stream.find('"', at) - at);
        }
        return out;
    }
};

struct fake_agents : entry::agent_port {
    struct sent_run {
        entry::call_id call{0};
        std::string address;
        http::request message;

        [[nodiscard]] std::string field(std::string_view name) const {
            return std::string{http::find_field(message.fields, name).value_or("")};
        }
    };
    std::vector<sent_run> runs;
    std::vector<entry::call_id> resets;
    std::vector<std::string> cancels; /**< Ids of the cancelled requests. */

    void run(entry::call_id call, std::string_view address, http::request message) override {
        runs.push_back({call, std::string{address}, std::move(message)});
    }
    void reset(entry::call_id call) override { resets.push_back(call); }
    void cancel(std::string_view, std::string_view request, std::string_view) override {
        cancels.emplace_back(request);
    }
};

struct fake_claims final : entry::claim_port {
    std::vector<claim::claim_request> submitted;
    std::size_t answered{0};
    std::size_t unknown{0};
    std::size_t not_run{0};

    void submit(claim::claim_request request) override { submitted.push_back(std::move(request)); }
    void finish(std::string_view, claim::stored_response) override { ++answered; }
    void finish_unknown(std::string_view) override { ++unknown; }
    void finish_not_run(std::string_view) override { ++not_run; }
};

struct fake_usage final : entry::usage_port {
    std::vector<entry::served_usage> records;
    void record(entry::served_usage used) override { records.push_back(std::move(used)); }
};

/** Dispatcher with fakes, the sample configuration and several backend servers of each service. */
struct fixture {
    base::manual_clock clock;
    base::id_source ids{7};
    metrics::registry metrics;
    fake_agents agents;
    fake_claims claims;
    fake_usage usage;
    config::declarations values{test::sample_declarations()};
    std::uint64_t version{0};
    entry::dispatcher dispatcher{{.failure_domain = "rajkot", .request_deadline = 60s},
                                 {clock, ids, metrics, agents, claims, usage, [] { return std::uint64_t{1}; }}};

    explicit fixture(std::size_t backends = 3) {
        clock.advance(1s);
        values.services["booking"].routes = {{"GET", "/availability", true, false},
                                             {"POST", "/bookings", false, false}};
        configure();
        std::vector<entry::backend_status> all;
        for (std::size_t n = 0; n < backends; ++n) {
            for (const std::string service : {"drafting", "booking"}) {
                entry::backend_status it;
                it.facts = {
                    .name = service + std::to_string(n),
                    .agent_address = "agent" + std::to_string(n),
                    .incarnation = "i" + std::to_string(n),
                    .failure_domain = "rajkot",
                    .service = service,
                    .models = service == "drafting" ? std::vector<std::string>{"m1"} : std::vector<std::string>{},
                    .role = service == "drafting" ? routing::backend_role::mixed : routing::backend_role::plain};
                all.push_back(it);
            }
        }
        dispatcher.on_backends(all);
    }

    void configure() {
        dispatcher.on_config(
            std::make_shared<const config::config_state>(++version, "change", values, config::origin_map{}));
        dispatcher.freshness().confirmed(clock.now());
        dispatcher.tick();
    }

    void withdraw() {
        values.keys["key-north"].withdrawn = true;
        configure();
    }

    std::shared_ptr<fake_caller> arrive(entry::caller_request request, const std::string &key = "dsk_north") {
        auto caller = std::make_shared<fake_caller>();
        request.key = key;
        dispatcher.on_arrival(caller, std::move(request));
        return caller;
    }

    std::shared_ptr<fake_caller> stream(const std::string &key = "dsk_north") {
        entry::caller_request out;
        out.method = "POST";
        out.path = "/v1/completions";
        out.model = "m1";
        out.prompt = "p";
        out.prompt_tokens = 1;
        out.max_tokens = 8;
        out.stream = true;
        out.body = "{}";
        return arrive(std::move(out), key);
    }

    std::shared_ptr<fake_caller> call(const std::string &method, const std::string &path,
                                      const std::string &idempotency_key = {}) {
        entry::caller_request out;
        out.kind = entry::request_kind::call;
        out.idempotency_key = idempotency_key;
        out.method = method;
        out.path = path;
        out.service = "booking";
        out.body = "{}";
        return arrive(std::move(out));
    }

    /** Advances the clock and confirms the key table. */
    void advance(base::duration step) {
        clock.advance(step);
        dispatcher.freshness().confirmed(clock.now());
        dispatcher.tick();
    }

    /** Delivers a token on the call of `run`, by default with the number of its attempt. */
    void token(const fake_agents::sent_run &run, std::uint64_t offset, const std::string &text,
               std::uint32_t attempt = 0) {
        dispatcher.on_data(run.call,
                           answer::encode_line(answer::chunk{run.field("ds-request"),
                                                             attempt == 0 ? attempt_of(run) : attempt, offset, text}));
    }

    void last(const fake_agents::sent_run &run, std::uint64_t total) {
        dispatcher.on_data(run.call, answer::encode_line(answer::chunk_end{run.field("ds-request"), attempt_of(run),
                                                                           total, 1, "length"}));
    }

    static std::uint32_t attempt_of(const fake_agents::sent_run &run) {
        return static_cast<std::uint32_t>(std::stoul(run.field("ds-attempt")));
    }

    /** Reports that a peer holds the newest usage record. */
    void hold() { dispatcher.on_usage_held(usage.records.back().request); }
};

} // namespace

// Guards against a response that ends as complete before every token was delivered.
TEST_CASE("a stream ends as complete only after all tokens and the total") {
    fixture it;
    const auto caller = it.stream();
    REQUIRE(it.agents.runs.size() == 1);
    const auto run = it.agents.runs[0];
    it.dispatcher.on_head(run.call, 200, {});
    it.token(run, 0, "a");
    it.token(run, 1, "b");
    it.last(run, 2);
    // The end waits until a peer holds the usage record.
    CHECK_FALSE(caller->ended());
    it.hold();
    CHECK(caller->finished);
    CHECK(caller->text() == "ab");
    CHECK(caller->stream.ends_with("data: [DONE]\n\n"));
    CHECK(it.usage.records.size() == 1);
}

// Guards against a resumed stream that repeats or skips tokens, or accepts chunks of the previous attempt.
TEST_CASE("a broken stream resumes at the first missing token and drops late chunks of the earlier attempt") {
    fixture it;
    const auto caller = it.stream();
    const auto first = it.agents.runs.at(0);
    it.dispatcher.on_head(first.call, 200, {});
    it.token(first, 0, "a");
    it.token(first, 1, "b");
    it.dispatcher.on_end(first.call, call_end::broken);
    REQUIRE(it.agents.runs.size() == 2);
    const auto second = it.agents.runs.at(1);
    CHECK(second.field("ds-offset") == "2");
    CHECK(second.field("ds-attempt") == "2");
    CHECK(second.field("ds-backend") != first.field("ds-backend"));
    it.dispatcher.on_head(second.call, 200, {});
    // Late chunks: on the stream of the first attempt, and with its number on the stream of the second.
    it.token(first, 2, "X");
    it.token(second, 2, "Y", 1);
    it.last(first, 2);
    it.dispatcher.on_end(first.call, call_end::complete);
    CHECK_FALSE(caller->ended());
    it.token(second, 2, "c");
    it.token(second, 2, "Z");
    it.token(second, 3, "d");
    it.last(second, 4);
    it.hold();
    CHECK(caller->finished);
    CHECK(caller->text() == "abcd");
}

// Guards against a gap in a response: a token was lost and the next one is forwarded in its place.
TEST_CASE("a missing token in the middle is requested again") {
    fixture it;
    const auto caller = it.stream();
    const auto first = it.agents.runs.at(0);
    it.dispatcher.on_head(first.call, 200, {});
    it.token(first, 0, "a");
    it.token(first, 2, "c");
    CHECK(caller->text() == "a");
    REQUIRE(it.agents.runs.size() == 2);
    CHECK(it.agents.runs[1].field("ds-offset") == "1");
    CHECK(it.agents.resets == std::vector<entry::call_id>{first.call});
}

// Guards against an incomplete stream that is taken as complete because the stream was closed properly or a total
// arrived early.
TEST_CASE("a missing last chunk or a total that is too high leads to a resume") {
    for (const bool with_total : {false, true}) {
        fixture it;
        const auto caller = it.stream();
        const auto run = it.agents.runs.at(0);
        it.dispatcher.on_head(run.call, 200, {});
        it.token(run, 0, "a");
        if (with_total) {
            it.last(run, 3);
        }
        it.dispatcher.on_end(run.call, call_end::complete);
        CHECK_FALSE(caller->ended());
        REQUIRE(it.agents.runs.size() == 2);
        CHECK(it.agents.runs[1].field("ds-offset") == "1");
    }
}

// Guards against a truncated response that looks complete after the last attempt.
TEST_CASE("a stream that cannot be completed is visibly aborted") {
    fixture it;
    const auto caller = it.stream();
    for (std::size_t n = 0; n < it.agents.runs.size() && n < 10; ++n) {
        const auto run = it.agents.runs[n];
        it.dispatcher.on_head(run.call, 200, {});
        it.token(run, n, "t");
        it.dispatcher.on_end(run.call, call_end::broken);
    }
    CHECK(caller->aborted);
    CHECK_FALSE(caller->finished);
    CHECK(caller->stream.find("[DONE]") == std::string::npos);
    CHECK(caller->stream.find("event: error") != std::string::npos);
    CHECK(it.agents.runs.size() <= retry::policy_options{}.max_attempts);
}

// Guards against a refusal that is delayed until the deadline although no further attempt is possible.
TEST_CASE("a request that has failed is refused at once, and one that takes too long at its deadline") {
    fixture it{1};
    const auto failed = it.stream();
    it.dispatcher.on_end(it.agents.runs.at(0).call, call_end::not_sent);
    REQUIRE(failed->answers.size() == 1);
    CHECK(failed->answers[0].status == 503);
    CHECK(failed->ran() == "no");
    CHECK(http::find_field(failed->answers[0].fields, "Retry-After"));

    fixture other;
    const auto late = other.stream();
    other.advance(59s);
    CHECK_FALSE(late->ended());
    other.advance(1s);
    REQUIRE(late->answers.size() == 1);
    CHECK(late->answers[0].status == 504);
    CHECK(other.dispatcher.active() == 0);
}

// Guards against streams that continue after their key was withdrawn by the configuration or a peer's message.
TEST_CASE("a withdrawal ends running requests of that key only") {
    for (const bool by_peer : {false, true}) {
        fixture it;
        const auto caller = it.stream();
        const auto run = it.agents.runs.at(0);
        it.dispatcher.on_head(run.call, 200, {});
        it.token(run, 0, "a");
        const auto other = it.stream("dsk_south");
        if (by_peer) {
            it.dispatcher.on_keys_withdrawn({base::sha256_hex("dsk_north")});
        } else {
            it.withdraw();
        }
        CHECK(caller->aborted);
        CHECK(caller->stream.find("key_withdrawn") != std::string::npos);
        CHECK(it.agents.resets == std::vector<entry::call_id>{run.call});
        CHECK_FALSE(other->ended());
        const auto again = it.stream();
        REQUIRE(again->answers.size() == 1);
        CHECK(again->answers[0].status == 401);
    }
}

// Guards against streams that continue while withdrawals are not visible, and against streams that are aborted when a
// confirmation is only slightly late.
TEST_CASE("an isolated entry ends open streams after its limit, but not when a confirmation is slightly late") {
    fixture it;
    const auto late = it.stream();
    it.clock.advance(5100ms);
    it.dispatcher.tick();
    CHECK_FALSE(late->ended());
    it.advance(100ms);
    it.clock.advance(5100ms);
    it.dispatcher.tick();
    CHECK_FALSE(late->ended());
    it.clock.advance(600ms);
    it.dispatcher.tick();
    REQUIRE(late->answers.size() == 1);
    CHECK(late->answers[0].status == 503);
    CHECK(late->ran() == "unknown");
}

// Guards against a booking that is sent a second time because its response was lost.
TEST_CASE("a call that must not be repeated is probed after a lost response and never sent again") {
    for (const std::string outcome : {"started", "finished", "other_incarnation", ""}) {
        CAPTURE(outcome);
        fixture it;
        const auto caller = it.call("POST", "/bookings");
        const auto run = it.agents.runs.at(0);
        it.dispatcher.on_end(run.call, call_end::broken);
        REQUIRE(it.agents.cancels == std::vector<std::string>{run.field("ds-request")});
        CHECK_FALSE(caller->ended());
        it.dispatcher.on_cancel_outcome(run.field("ds-request"), outcome);
        REQUIRE(caller->answers.size() == 1);
        CHECK(caller->ran() == "unknown");
        CHECK(it.agents.runs.size() == 1);
    }
}

// Guards against a status that is none, or the begin of one, being handed to a caller.
TEST_CASE("an answer of an agent without a valid status of its service is broken") {
    for (const std::string status : {"", "000", "099", "103", "20x", "2000", "600", "-1"}) {
        CAPTURE(status);
        fixture it;
        const auto caller = it.call("POST", "/bookings");
        const auto run = it.agents.runs.at(0);
        it.dispatcher.on_head(run.call, 200, {{"ds-status", status}, {"ds-total", "2"}});
        it.dispatcher.on_data(run.call, "ok");
        it.dispatcher.on_end(run.call, call_end::complete);
        it.dispatcher.on_cancel_outcome(run.field("ds-request"), "finished");
        REQUIRE(caller->answers.size() == 1);
        CHECK(caller->answers[0].status == 502);
        CHECK(caller->ran() == "unknown");
        CHECK(it.agents.runs.size() == 1);
    }
}

// Guards against a caller that waits without end for a probe that is never answered.
TEST_CASE("a probe without an answer ends as unknown after its time-out") {
    fixture it;
    const auto caller = it.call("POST", "/bookings");
    it.dispatcher.on_end(it.agents.runs.at(0).call, call_end::broken);
    it.advance(1900ms);
    CHECK_FALSE(caller->ended());
    it.advance(200ms);
    REQUIRE(caller->answers.size() == 1);
    CHECK(caller->ran() == "unknown");
}

// Guards against a booking that is reported as not run although it ran and only its response was not stored.
TEST_CASE("a repeated booking whose response was not stored is not reported as not run") {
    fixture it;
    const auto caller = it.call("POST", "/bookings", "k");
    REQUIRE(it.claims.submitted.size() == 1);
    it.dispatcher.on_claim({.request_id = it.claims.submitted[0].request_id,
                            .verdict = claim::claim_verdict::replay,
                            .answer = {201, "application/json", "", false}});
    REQUIRE(caller->answers.size() == 1);
    CHECK(caller->ran() == "unknown");
    CHECK(it.agents.runs.empty());
}

namespace {

/** What happens to one hand-over, and what the entry learns about it. */
enum class handover_outcome {
    answered,               /**< Runs; the answer arrives. */
    not_sent,               /**< No connection. */
    not_started,            /**< The agent says that it has not begun. */
    refused,                /**< The agent refuses before hand-over. */
    failed_unknown,         /**< Runs; the agent answers that the service gave no answer. */
    lost_before,            /**< Never arrives; the connection breaks; the agent says that it never starts. */
    lost_before_unanswered, /**< Never arrives; the connection breaks; the probe is not answered. */
    lost_after,             /**< Runs; the connection breaks; the agent says that it has finished. */
    lost_after_unanswered,  /**< Runs; the connection breaks; the probe is not answered. */
    late_copy,              /**< The connection breaks; the request arrives, and runs, after the lost probe. */
    short_answer,           /**< Runs; the answer is shorter than its length says. */
    count
};

enum class interruption {
    none,
    key_withdrawn,
    deadline,
    caller_gone,
    stopping
};

/** Simulates one history and compares what the caller was told with what ran. */
class history {
public:
    history(const std::string &method, const std::string &key, std::array<handover_outcome, 3> outcomes,
            interruption what, int when)
        : outcomes_{outcomes}, what_{what}, when_{when},
          caller_{it_.call(method, method == "GET" ? "/availability" : "/bookings", key)}, repeatable_{method ==
                                                                                                       "GET"} {
        for (const auto &each : it_.claims.submitted) {
            it_.dispatcher.on_claim({.request_id = each.request_id,
                                     .verdict = claim::claim_verdict::run,
                                     .run_before = it_.clock.now() + 10s});
        }
    }

    /** @return Description of the violation, or an empty string. */
    std::string play() {
        for (int step = 0; step < 16 && !caller_->ended(); ++step) {
            count_runs();
            if (step == when_ && interrupt()) {
                continue;
            }
            advance();
        }
        count_runs();
        return verdict();
    }

private:
    [[nodiscard]] static bool runs(handover_outcome it) {
        return it == handover_outcome::answered || it == handover_outcome::failed_unknown ||
               it == handover_outcome::lost_after || it == handover_outcome::lost_after_unanswered ||
               it == handover_outcome::late_copy || it == handover_outcome::short_answer;
    }

    /** Counts runs; a hand-over takes effect when it is sent, before the entry learns of it. */
    void count_runs() {
        for (; counted_ < it_.agents.runs.size(); ++counted_) {
            ran_ += runs(outcome_of(counted_)) ? 1U : 0U;
        }
    }

    [[nodiscard]] handover_outcome outcome_of(std::size_t n) const {
        return outcomes_.at(std::min(n, outcomes_.size() - 1));
    }

    bool interrupt() {
        switch (what_) {
        case interruption::key_withdrawn:
            it_.withdraw();
            return true;
        case interruption::deadline:
            it_.advance(61s);
            return true;
        case interruption::caller_gone:
            caller_->has_gone = true;
            it_.dispatcher.tick();
            return false;
        case interruption::stopping:
            it_.dispatcher.stop_accepting();
            return false;
        case interruption::none:
            break;
        }
        return false;
    }

    void advance() {
        if (delivered_ < it_.agents.runs.size()) {
            deliver_outcome(it_.agents.runs[delivered_], outcome_of(delivered_));
            ++delivered_;
        } else if (probed_ < it_.agents.cancels.size()) {
            answer_probe(it_.agents.cancels[probed_], outcome_of(delivered_ - 1));
            ++probed_;
        } else if (!it_.usage.records.empty()) {
            it_.hold();
        }
    }

    void deliver_outcome(const fake_agents::sent_run &run, handover_outcome it) {
        auto &to = it_.dispatcher;
        switch (it) {
        case handover_outcome::answered:
        case handover_outcome::short_answer:
            to.on_head(run.call, 200, {{"ds-status", "201"}, {"ds-content-type", "text/plain"}, {"ds-total", "2"}});
            to.on_data(run.call, it == handover_outcome::answered ? "ok" : "o");
            return to.on_end(run.call, call_end::complete);
        case handover_outcome::refused:
            to.on_head(run.call, 503, {{"ds-ran", "no"}});
            return to.on_end(run.call, call_end::complete);
        case handover_outcome::failed_unknown:
            to.on_head(run.call, 502, {});
            return to.on_end(run.call, call_end::complete);
        case handover_outcome::not_sent:
            return to.on_end(run.call, call_end::not_sent);
        case handover_outcome::not_started:
            return to.on_end(run.call, call_end::not_started);
        default:
            return to.on_end(run.call, call_end::broken);
        }
    }

    void answer_probe(const std::string &request, handover_outcome it) {
        auto &to = it_.dispatcher;
        if (it == handover_outcome::lost_before) {
            to.on_cancel_outcome(request, "never_starts");
        } else if (runs(it) && it != handover_outcome::lost_after_unanswered && it != handover_outcome::late_copy) {
            to.on_cancel_outcome(request, "finished");
        } else {
            it_.advance(3s);
        }
    }

    [[nodiscard]] std::string verdict() const {
        if (caller_->answers.size() != 1) {
            return "answered " + std::to_string(caller_->answers.size()) + " times";
        }
        const auto runs = std::to_string(ran_);
        if (caller_->ran() == "no" && ran_ != 0) {
            return "told not run, but ran " + runs + " times";
        }
        const int status = caller_->answers[0].status;
        if (status < 300 && ran_ == 0) {
            return "accepted without a run";
        }
        if (!repeatable_ && ran_ > 1) {
            return "ran " + runs + " times";
        }
        if (it_.claims.not_run > 0 && ran_ != 0) {
            return "the claim was freed, but it ran";
        }
        const auto closed = it_.claims.answered + it_.claims.not_run + it_.claims.unknown;
        return it_.claims.submitted.size() == closed ? "" : "the claim was closed " + std::to_string(closed) + " times";
    }

    fixture it_;
    const std::array<handover_outcome, 3> outcomes_;
    const interruption what_;
    const int when_;
    std::shared_ptr<fake_caller> caller_;
    const bool repeatable_;
    std::size_t counted_{0};
    std::size_t delivered_{0};
    std::size_t probed_{0};
    std::size_t ran_{0};
};

} // namespace

// Guards against a false "not run", a second run, and a claim that is wrongly released or left open. Covers all
// combinations of outcomes of three hand-overs, and those of two with an interruption at each of the first steps.
TEST_CASE("what callers are told about a run is true for all histories") {
    // The dispatcher logs each failure, which would be megabytes for this number of histories.
    const auto level = std::exchange(FLAGS_minloglevel, google::GLOG_FATAL);
    constexpr auto outcomes = static_cast<std::size_t>(handover_outcome::count);
    std::size_t histories = 0;
    std::map<std::string, std::size_t> wrong;
    const auto play = [&](const std::array<handover_outcome, 3> &plan, interruption what, int when) {
        for (const auto &[method, key] : {std::pair{"GET", ""}, std::pair{"POST", ""}, std::pair{"POST", "k"}}) {
            ++histories;
            const auto problem = history{method, key, plan, what, when}.play();
            if (!problem.empty()) {
                ++wrong[std::string{method} + (*key == 0 ? "" : " with key") + ", interruption " +
                        std::to_string(static_cast<int>(what)) + ": " + problem];
            }
        }
    };
    for (std::size_t n = 0; n < outcomes * outcomes * outcomes; ++n) {
        const std::array plan{static_cast<handover_outcome>(n % outcomes),
                              static_cast<handover_outcome>(n / outcomes % outcomes),
                              static_cast<handover_outcome>(n / outcomes / outcomes)};
        play(plan, interruption::none, 0);
        for (const auto what :
             {interruption::key_withdrawn, interruption::deadline, interruption::caller_gone, interruption::stopping}) {
            for (int when = 0; when < 5 && plan[2] == handover_outcome::answered; ++when) {
                play(plan, what, when);
            }
        }
    }
    FLAGS_minloglevel = level;
    for (const auto &[problem, n] : wrong) {
        MESSAGE(n << " histories: " << problem);
    }
    CHECK(histories > 10000);
    CHECK(wrong.empty());
}

// Guards against a load balancer that sends requests to an entry that refuses all of them.
TEST_CASE("requests are accepted only while the configuration is confirmed and the entry is not stopping") {
    fixture it;
    CHECK(it.dispatcher.accepts());
    it.clock.advance(6s);
    CHECK_FALSE(it.dispatcher.accepts());
    it.dispatcher.freshness().confirmed(it.clock.now());
    CHECK(it.dispatcher.accepts());
    it.dispatcher.stop_accepting();
    CHECK_FALSE(it.dispatcher.accepts());
}
