#include "explain/explanation.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace dotterelstack::explain {

namespace internal {

struct outcome_explanation {
    std::string_view code; /**< Value of `outcome` in `request_finished` or `reason` in `request_refused`. */
    std::string_view cause;
    std::string_view remedy;
};

constexpr auto outcomes = std::to_array<outcome_explanation>({
    {"served", "The backend server's whole answer was passed on.", "none"},
    {"passed_on", "The backend server answered with this status itself.", "Look for the id in its records."},
    {"busy",
     "No place was free in time: all slots were taken, or the answer was expected after the latency objective. It has "
     "not run.",
     "Compare `expected_ms` and `outstanding` of other requests to the service at that time; add backend servers."},
    {"no_backend", "No backend server of the service took requests.",
     "Look at `servers_changed` and `server_removed` before it, and at the attempts above."},
    {"retry_budget", "An attempt failed, and the retries of the service were used up.",
     "Look for the backend servers that fail: `attempt_failed` of the same time."},
    {"attempts_exhausted", "Every attempt that the route allows failed.",
     "Look at the backend servers of the attempts above."},
    {"outcome_unknown",
     "The connection broke after the request may have been sent. It may have run, and was not repeated.",
     "Look for the id in the records of the backend server before the work is repeated."},
    {"not_resumable", "The stream broke off and its events have no ids to resume from.",
     "Look at the backend server of the attempt above."},
    {"backend_failed", "The backend server refused it without saying that it has not run.",
     "Look for the id in its records."},
    {"broken_stream", "The stream broke off after its beginning was passed on.",
     "Look at the backend server of the attempt above."},
    {"deadline", "The caller's deadline or the route's timeout passed.",
     "Compare `placed_ms`, `prefilled_ms` and `first_event_ms` with `total_ms` to see where the time went."},
    {"caller_gone", "The caller closed its connection first.", "Ask the caller; compare `total_ms` with its patience."},
    {"no_configuration", "The gateway had just started and knew no configuration.",
     "Look for `process_started` and `config_adopted`."},
    {"stopping", "The gateway was stopping.", "Look for `process_stopping`; the caller may send it again at once."},
    {"stopped", "The process ended with the request open.", "Look for `process_stopping` and its time."},
    {"unknown_route", "No route of the configuration had this host and path.",
     "Compare `config_version` with the version that has the route."},
    {"invalid_key", "The key was unknown in the configuration in force.",
     "Compare `config_version` with the version that has the key."},
});

const outcome_explanation *find_outcome(std::string_view code) noexcept {
    const auto it = std::ranges::find(outcomes, code, &outcome_explanation::code);
    return it == outcomes.end() ? nullptr : &*it;
}

/** @return Number of failed attempts and details of the last one; empty when none failed. */
std::string describe_failed_attempts(std::span<const log_line> lines) {
    const auto failed = std::ranges::count(lines, "attempt_failed", &log_line::event);
    if (failed == 0) {
        return {};
    }
    const auto last = std::ranges::find(lines.rbegin(), lines.rend(), "attempt_failed", &log_line::event);
    return " Failed attempts: " + std::to_string(failed) + "; the last one at " + std::string{last->value("backend")} +
           " ended as " + std::string{last->value("outcome")} + " after " + std::string{last->value("after_ms")} +
           " ms, evidence " + std::string{last->value("evidence")} + ".";
}

/** @return The estimate that refused the request beside a free slot; empty when none did. */
std::string describe_refusal_for_time(std::span<const log_line> lines) {
    const auto it = std::ranges::find(lines, "request_refused_for_time", &log_line::event);
    if (it == lines.end()) {
        return {};
    }
    return " The answer was expected after " + std::string{it->value("typical_ms")} + " ms at " +
           std::string{it->value("backend")} + ", which had a free slot, with an objective of " +
           std::string{it->value("objective_ms")} + " ms; the last answer of the service was measured " +
           std::string{it->value("slot_time_age_ms")} + " ms before.";
}

/** @return True when a stream was resumed at another backend server. */
bool was_resumed(std::span<const log_line> lines) {
    return std::ranges::any_of(lines, [](const auto &it) { return it.event == "request_resumed"; });
}

} // namespace internal

explanation explain_request(std::span<const log_line> lines) {
    const auto is_final_event = [](const log_line &it) {
        return it.event == "request_finished" || it.event == "request_refused";
    };
    const auto last = std::ranges::find_if(lines.rbegin(), lines.rend(), is_final_event);
    if (last == lines.rend()) {
        return {"no end in this log",
                lines.empty()
                    ? "No process whose log this is has seen the request."
                    : "It was still open, or the process was killed." + internal::describe_failed_attempts(lines),
                "Look at the logs of the other gateways of the failure domain, then at the balancer."};
    }
    const std::string code{last->value(last->event == "request_finished" ? "outcome" : "reason")};
    explanation out{std::string{last->value("status")} + " " + code, "This outcome has no explanation.",
                    "Look the event up in docs/log-events.md."};
    if (const auto *found = internal::find_outcome(code)) {
        out.cause = found->cause;
        out.remedy = found->remedy;
    }
    out.cause += internal::describe_failed_attempts(lines);
    out.cause += internal::describe_refusal_for_time(lines);
    if (internal::was_resumed(lines)) {
        out.cause += " The stream was resumed at another backend server.";
    }
    return out;
}

} // namespace dotterelstack::explain
