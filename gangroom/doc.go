// Package gangroom decides how much free capacity is kept for a waiting gang.
//
// A gang starts whole, so capacity that smaller tasks take while it waits may delay it as a whole.
// Keeping every worker that it could use would leave most of the capacity idle, because some gang
// waits nearly always. A Room therefore keeps only as many slots as the gang needs, with a reserve
// for slots that turn out unusable.
//
// All types are immutable values.
package gangroom
