/** State charts that stand in YAML files and are checked before they are interpreted. */
@NullMarked
package io.hawthornlb.core.chart;

import org.jspecify.annotations.NullMarked;
