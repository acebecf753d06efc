#pragma once

namespace dotterelstack::limits {

class token_bucket;
class admission;
struct row_key;
struct row_limits;
struct row_share;
struct row_status;
struct row_use;
struct submission;
struct decision;
struct share_member;
struct share_epoch;
struct share_demand;
struct share_grant;
class share_holder;
class share_coordinator;

} // namespace dotterelstack::limits
