/**
 * Runs batch items in the slots that online requests leave free, and frees these slots when a burst
 * of online requests arrives.
 */
@NullMarked
package io.hawthornlb.core.batch;

import org.jspecify.annotations.NullMarked;
