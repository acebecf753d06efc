#pragma once

namespace dotterelstack::log {

/**
 * @brief Reports how a process ends that ends by a fault: an exception that nothing handles as `process_failed` with
 * its text, a fatal signal with the stack of its thread. Both go where log lines go, past the background writer, which
 * may not get to run any more. Call it once in `main`, after `start` and before other threads start.
 */
void report_failures();

} // namespace dotterelstack::log
