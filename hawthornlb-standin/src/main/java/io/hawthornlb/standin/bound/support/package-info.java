/** Computes the bound as a flow from arrivals to the slots of each moment. */
@NullMarked
package io.hawthornlb.standin.bound.support;

import org.jspecify.annotations.NullMarked;
