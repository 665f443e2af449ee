#include "append_pacer.hpp"
#include "log_cursor.hpp"
