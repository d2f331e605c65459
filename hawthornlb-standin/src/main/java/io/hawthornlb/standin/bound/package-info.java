/**
 * Upper bound on the worth that any scheduling policy can earn on a simulated day.
 *
 * <p>The bound follows from the slots, the outages and the arrivals of the day. Worth is a number
 * without a unit that the settings of the day give to each request.
 */
@NullMarked
package io.hawthornlb.standin.bound;

import org.jspecify.annotations.NullMarked;
