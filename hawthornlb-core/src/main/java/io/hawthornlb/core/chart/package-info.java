/** State charts that are read from YAML files and checked before they are used. */
@NullMarked
package io.hawthornlb.core.chart;

import org.jspecify.annotations.NullMarked;
