#pragma once

#include <gflags/gflags.h>

// Options of the command-line tool. Their texts in flags.cpp are also those of the pages.
DECLARE_string(target);
DECLARE_string(token_file);
DECLARE_bool(json);
DECLARE_int32(timeout_ms);
DECLARE_string(previous);
DECLARE_string(output);
DECLARE_bool(questionnaire);
DECLARE_int64(based_on);
DECLARE_bool(dry_run);
DECLARE_string(workspace);
DECLARE_string(window);
DECLARE_string(file);
DECLARE_string(request);
DECLARE_string(endpoint);
DECLARE_string(shard);
DECLARE_string(since);
DECLARE_string(until);
DECLARE_bool(explain);
DECLARE_string(svg);
DECLARE_bool(page);
