/** Reads, checks and holds state charts. */
@NullMarked
package io.hawthornlb.core.chart.support;

import org.jspecify.annotations.NullMarked;
