/** Forecasts of the slots that online requests will need. */
@NullMarked
package io.hawthornlb.core.demand;

import org.jspecify.annotations.NullMarked;
