/** Arrival times, callers and checks of the load tool. */
@NullMarked
package io.hawthornlb.standin.load.support;

import org.jspecify.annotations.NullMarked;
