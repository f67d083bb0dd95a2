#pragma once

// One place that says how toml++ is built: errors come back as results, not exceptions.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>
