#include "lib/seats/seat_manager.h"
