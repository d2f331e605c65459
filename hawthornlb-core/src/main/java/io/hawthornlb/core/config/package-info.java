/** Checked YAML: values are read with their units, and all faults are reported together. */
@NullMarked
package io.hawthornlb.core.config;

import org.jspecify.annotations.NullMarked;
