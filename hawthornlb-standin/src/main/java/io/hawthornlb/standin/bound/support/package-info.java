/** Computation of the bound as the maximum flow from arrivals to the slots of each time step. */
@NullMarked
package io.hawthornlb.standin.bound.support;

import org.jspecify.annotations.NullMarked;
