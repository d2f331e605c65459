/** Reading, checking and execution of state charts. */
@NullMarked
package io.hawthornlb.core.chart.support;

import org.jspecify.annotations.NullMarked;
