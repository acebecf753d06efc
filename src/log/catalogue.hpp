#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace dotterelstack::log {

enum class severity {
    info,
    warning,
    error
};

/** @brief One kind of logged event. */
struct event_description {
    std::uint16_t number; /**< Stable; a retired number is not given again. */
    std::string_view name;
    severity level;
    std::string_view meaning;
    std::string_view remedy; /**< What an operator does, or `none`. */
};

/** @brief All events, by number. The only place where numbers are given; docs/log-events.md repeats it. */
inline constexpr auto catalogue = std::to_array<event_description>({
    // Process and settings
    {1001, "process_started", severity::info, "A process has read its settings and serves.", "none"},
    {1002, "process_stopping", severity::info, "A graceful stop began; no new work is accepted.", "none"},
    {1003, "process_stopped", severity::info, "The process has finished its work and exits.", "none"},
    {1004, "settings_invalid", severity::error, "The settings file was refused; the process does not start.",
     "Correct the listed fields; check with `dotterelstack check-settings FILE`."},
    {1005, "listen_failed", severity::error, "A listener could not be opened.",
     "Free the address or change it in the settings."},
    {1006, "stop_deadline_passed", severity::warning, "A graceful stop was still waiting for requests at its deadline.",
     "Look for requests that do not end; raise the deadline if they are legitimate."},
    // Configuration
    {1101, "config_adopted", severity::info, "A newer configuration version is in force in this process.", "none"},
    {1102, "config_stale_ignored", severity::info, "An older configuration version was offered and ignored.",
     "none; frequent occurrences mean that the store serves stale reads."},
    {1103, "config_diverged", severity::error, "Two different configurations carry the same version.",
     "Check whether the store was restored from a backup; stop changes until the store is consistent."},
    {1104, "config_from_peer", severity::warning, "The configuration came from a peer because the store is down.",
     "Restore the store; the age in the event tells how old the configuration may be."},
    {1105, "config_unreadable", severity::error, "A stored configuration object could not be decoded.",
     "Run the same release of the program everywhere; read the object with `dotterelstack get`."},
    {1106, "config_age_unknown", severity::warning, "No store and no peer has confirmed the configuration yet.",
     "Check the connection to the store and to the other entries."},
    // Leases and orders
    {1201, "lease_acquired", severity::info, "This process now holds a lease.", "none"},
    {1202, "lease_renew_failed", severity::warning, "A lease renewal failed; the lease is still within its term.",
     "Check the store if this repeats."},
    {1203, "lease_lost", severity::warning, "The lease ended before it was renewed; its work stops here.",
     "none if another entry holds it; otherwise check the store."},
    {1204, "lease_released", severity::info, "The lease was given up at a graceful stop.", "none"},
    {1205, "order_intended", severity::info, "An order was written to the journal before it is sent.", "none"},
    {1206, "order_settled", severity::info, "An order has taken effect or is known to have none.", "none"},
    {1207, "order_unknown", severity::warning, "The response to an order was lost; the receiver's state is being read.",
     "none; check the backend server if the order does not settle."},
    {1208, "order_rejected", severity::warning, "An order carried a fence that is not current, and had no effect.",
     "none; the sender has lost its lease."},
    {1209, "order_abandoned", severity::warning,
     "An order was cut off before its last byte; its sender lost its lease.", "none"},
    // Membership and connections
    {1301, "host_live", severity::info, "A host joined the set of live hosts.", "none"},
    {1302, "host_leaving", severity::info, "A host is leaving and receives no new work.", "none"},
    {1303, "host_lost", severity::warning, "A host stopped answering.", "Check the host and its failure domain."},
    {1304, "connection_silent", severity::warning, "A connection missed its ping deadline and is replaced.",
     "Check the network path if this repeats."},
    {1305, "connection_failed", severity::warning, "A peer could not be reached.",
     "Check the peer's address and host."},
    {1306, "host_list_unavailable", severity::warning, "The platform's host list could not be read.",
     "Check the platform address in the settings."},
    {1307, "store_unavailable", severity::warning, "The store does not answer; serving continues without changes.",
     "Restore the store."},
    {1308, "store_recovered", severity::info, "The store answers again.", "none"},
    {1309, "isolated", severity::error, "Neither the store nor enough peers answer; requests are refused.",
     "Restore the network of this host."},
    {1310, "store_history_lost", severity::info,
     "The store no longer has the history from where a feed watches; the feed lists.",
     "none; once for each feed after the store returned from a copy."},
    // Keys
    {1401, "key_withdrawn", severity::info, "A key withdrawal is in force in this process.", "none"},
    {1402, "stream_ended_key_withdrawn", severity::info, "An open stream was ended because its key was withdrawn.",
     "none"},
    {1403, "key_table_stale", severity::error, "The key table could not be confirmed in time; requests are refused.",
     "Restore the connection to the store or the other entries."},
    {1404, "request_unauthorised", severity::info, "A request carried no valid key.", "Check the caller's key."},
    {1405, "key_in_body_refused", severity::info, "A request carried its key in a place that cannot be stripped.",
     "Ask the caller to send the key in the Authorization header."},
    // Limits
    {1501, "shares_epoch_adopted", severity::info, "A new set of limit coordinators is in force.", "none"},
    {1502, "row_limit_reached", severity::info, "Requests of one organisation wait or are refused at its limit.",
     "Raise the limit of the row if the demand is legitimate."},
    {1503, "overloaded", severity::warning, "A queue was full and a request was refused.",
     "Add entries or backend servers, or lower the limits."},
    {1504, "ring_dropped", severity::warning, "A full ring dropped elements.", "Check the consumer of the ring."},
    {1505, "floor_lender_chosen", severity::warning,
     "This entry started without the store and borrows from the limits of another one.", "Restore the store."},
    // Routing and retries
    {1601, "request_resumed", severity::info, "A response continues on another backend server.", "none"},
    {1602, "request_given_up", severity::warning, "A request failed on every permitted attempt.",
     "Check the backend servers of the service."},
    {1603, "retry_budget_empty", severity::warning, "Retries are suspended because too many requests fail.",
     "Check the backend servers of the service."},
    {1604, "outcome_unknown", severity::warning, "It is not known whether a non-repeatable call ran.",
     "Check the service's own records by booking id before repeating the call."},
    {1605, "response_mismatch", severity::warning, "A response part of another request or attempt was dropped.",
     "none; frequent occurrences mean a faulty backend server."},
    {1606, "role_changed", severity::info, "An engine has taken another role.", "none"},
    {1607, "backend_ordered", severity::info, "The platform was asked to start or stop a backend server.", "none"},
    {1608, "claim_unknown", severity::warning, "The outcome of an idempotency claim is not known.",
     "Check the service's own records by booking id before repeating the call."},
    {1609, "no_backend", severity::warning, "No backend server can take a request.",
     "Start backend servers of the service or check their health."},
    // Usage
    {1701, "usage_batch_written", severity::info, "A usage batch was written to the store.", "none"},
    {1702, "usage_window_sealed", severity::info, "The figures of a usage window are final.", "none"},
    {1703, "usage_reported", severity::info, "A usage window was accepted by the platform.", "none"},
    {1704, "usage_report_failed", severity::warning, "A usage report was not accepted and will be repeated unchanged.",
     "Check the platform address in the settings."},
    {1705, "usage_corrected", severity::info, "A late record went into a later window as a correction.", "none"},
    {1706, "usage_hold_failed", severity::warning, "No peer in another failure domain holds this entry's records.",
     "Check the other entries."},
    // Agent
    {1801, "incarnation_written", severity::info, "An agent has announced its new incarnation.", "none"},
    {1802, "backend_failed", severity::warning, "A backend server stopped answering its agent.",
     "Check the backend server."},
    {1803, "backend_recovered", severity::info, "A backend server answers its agent again.", "none"},
    {1804, "drain_started", severity::info, "A backend server takes no new work and finishes its requests.", "none"},
    {1805, "drain_finished", severity::info, "A drained backend server has no requests left.", "none"},
    {1806, "request_rejected", severity::info, "The agent rejected a request before handing it over.", "none"},
    // Gateway
    {1901, "request_placed", severity::info, "A request is sent to a backend server; the inputs of the choice.",
     "none"},
    {1902, "request_refused", severity::info, "A request was answered by the gateway itself.",
     "Look at the reason; `busy` and `no_backend` call for backend servers."},
    {1903, "attempt_failed", severity::info, "An attempt at a backend server failed.",
     "Check the backend server if it appears often."},
    {1904, "request_finished", severity::info, "A request has its final answer.", "none"},
    {1905, "servers_changed", severity::info, "The set of known backend servers has changed.", "none"},
    {1906, "server_entry_unreadable", severity::warning, "A discovery entry names no usable backend server.",
     "Correct the writer of the entry."},
    {1907, "settings_reloaded", severity::info, "The settings file was read again.", "none"},
    {1908, "settings_reload_failed", severity::error, "The changed settings file was refused; the old ones hold.",
     "Correct the listed fields; check with `dotterelstack check-settings FILE`."},
    {1909, "member_write_failed", severity::warning, "This gateway's record could not be written.",
     "Check the store if this repeats."},
    {1910, "member_list_failed", severity::warning, "The records of gateways could not be read.",
     "Check the store if this repeats."},
    {1911, "member_unreadable", severity::warning, "The record of a gateway could not be decoded.",
     "Run the same release of the program everywhere."},
    {1912, "usage_seal_failed", severity::warning, "The figures of a usage window could not be fixed yet.",
     "Check the store if this repeats."},
    {1913, "server_changed", severity::info, "A backend server's entry was written; `taken` tells whether it counts.",
     "none"},
    {1914, "server_removed", severity::info, "A backend server's entry was removed.", "none"},
    {1915, "servers_from_peer", severity::warning, "The store was away at the start; a peer's entries are used.",
     "Restore the store."},
    {1916, "time_jumped", severity::warning, "The time of day has jumped; usage windows follow the steady clock.",
     "Check the time synchronisation of the host."},
    {1917, "time_corrected", severity::info, "A jump of the time of day has lasted and is now followed.", "none"},
    {1918, "member_asked", severity::info, "A gateway whose record is behind was asked for its counts.", "none"},
    {1919, "attempt_broken", severity::info,
     "A connection ended in the middle of an attempt; the ids of the prompt's shared parts.",
     "Look for a part that the attempts have in common when many engines end."},
    {1920, "prompt_part_held", severity::warning,
     "Requests whose prompts have this part are refused, because engines that began to answer them have ended.",
     "Ask the callers for the requests with this part; it is tried again after the hold."},
    {1921, "prompt_part_released", severity::info, "Requests whose prompts have this part may run again.", "none"},
    {1922, "crash_report_failed", severity::warning,
     "Observations about engines that have ended were not written for the other gateways.",
     "Check the store if this repeats."},
    {1923, "crash_report_unreadable", severity::warning,
     "A gateway's observations about engines that have ended could not be decoded.",
     "Run the same release of the program everywhere."},
    {1924, "server_leaving", severity::info,
     "A backend server has answered that it is leaving; it gets no new requests.", "none"},
    {1925, "server_pausing", severity::info, "A backend server has asked this gateway to send nothing for a time.",
     "none; look at its load if it repeats."},
});

} // namespace dotterelstack::log
