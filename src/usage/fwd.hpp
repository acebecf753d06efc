#pragma once

namespace dotterelstack::usage {

struct usage_record;
struct usage_batch;
struct usage_figure;
struct sealed_window;
struct open_window;
struct recorder_settings;
struct sealer_settings;
struct sealer_action;
struct reporter_settings;
struct reporter_action;
class sequence_set;
class usage_recorder;
class usage_replica_buffer;
class usage_sealer;
class usage_reporter;

} // namespace dotterelstack::usage
