#include "lib/limits/account_limiter.h"
