/** Reading of configuration files: values have units, and all faults are reported together. */
@NullMarked
package io.hawthornlb.core.config;

import org.jspecify.annotations.NullMarked;
