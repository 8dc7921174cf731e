#include "lib/control_impl.h"
gc_operators_t *gc_operators_create(gc_control_t *control, GError **err)
{
	return (gc_operators_t *)control;
}
