/**
 * Default implementation of the slot coordinator: queueing, placement, penalties and outlier
 * detection.
 */
@NullMarked
package io.hawthornlb.gateway.slot.support;

import org.jspecify.annotations.NullMarked;
