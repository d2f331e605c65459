/** Jobs: accepted once, run to an end, read anywhere. */
@NullMarked
package io.hawthornlb.gateway.job;

import org.jspecify.annotations.NullMarked;
