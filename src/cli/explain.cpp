#include <algorithm>
#include <fstream>
#include <istream>
#include <ostream>

#include "cli/command.hpp"
#include "explain/explanation.hpp"

namespace dotterelstack::cli::internal {

namespace {

void declare_explain(cxxopts::Options & /*options*/) {}

void collect_events(std::istream &input, const std::string &source, std::string_view request,
                    std::vector<explain::log_line> &out) {
    std::string text;
    while (std::getline(input, text)) {
        // Skips lines that do not contain the id before parsing them, which keeps large logs fast.
        if (text.find(request) == std::string::npos) {
            continue;
        }
        auto line = explain::parse_line(text);
        if (line && line->value("request") == request) {
            line->source = source;
            out.push_back(std::move(*line));
        }
    }
}

base::result<exit_code> run_explain(command_context &context) {
    const auto arguments = positional(context);
    if (arguments.empty()) {
        return boost::outcome_v2::failure(
            usage_error("expected the id of a request, then log files unless the log comes from standard input"));
    }
    const auto &request = arguments.front();
    std::vector<explain::log_line> lines;
    if (arguments.size() == 1) {
        collect_events(context.env.in, "", request, lines);
    }
    for (std::size_t n = 1; n < arguments.size(); ++n) {
        std::ifstream file{arguments[n]};
        if (!file) {
            return base::fail(base::error_kind::not_found, "file_unreadable",
                              arguments[n] + " cannot be read; check its name and permissions");
        }
        collect_events(file, arguments[n], request, lines);
    }
    std::ranges::stable_sort(lines, {}, &explain::log_line::time);
    auto &out = context.env.out;
    for (const auto &it : lines) {
        out << it.time << ' ' << it.source << (it.source.empty() ? "" : " ") << it.event << ' ' << it.details << '\n';
    }
    const auto explanation = explain::explain_request(lines);
    out << "\nend:    " << explanation.ending << "\ncause:  " << explanation.cause << "\nremedy: " << explanation.remedy
        << '\n';
    return lines.empty() ? exit_code::failure : exit_code::success;
}

} // namespace

const command explain_command{"explain",        "say why a request ended as it did, from the logs of processes",
                              "ID [FILE...]",   false,
                              &declare_explain, &run_explain};

} // namespace dotterelstack::cli::internal
