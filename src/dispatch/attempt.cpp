#include "dispatch/attempt.hpp"

namespace dotterelstack::dispatch {

std::string_view to_string(attempt_outcome how) noexcept {
    switch (how) {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::server_error:
        return "server_error";
    case attempt_outcome::full:
        return "full";
    case attempt_outcome::misdirected:
        return "misdirected";
    case attempt_outcome::unreachable:
        return "unreachable";
    case attempt_outcome::broken:
        return "broken";
    case attempt_outcome::silent:
        return "silent";
    case attempt_outcome::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace dotterelstack::dispatch
