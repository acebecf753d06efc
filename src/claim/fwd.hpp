#pragma once

namespace dotterelstack::claim {

struct stored_response;
struct claim_entry;
struct claim_bucket;
struct claim_request;
struct claim_decision;
struct claim_settings;
struct claim_write;
class claim_registry;

} // namespace dotterelstack::claim
