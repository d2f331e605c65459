/** Estimates of the time for which requests and batch items use a slot. */
@NullMarked
package io.hawthornlb.core.work;

import org.jspecify.annotations.NullMarked;
